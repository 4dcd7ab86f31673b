package org.pollensill.runner;

import java.util.Map;
import java.util.Objects;

/** What came of a call for advice. */
public sealed interface AdviceAnswer {

    /**
     * The service has decided.
     *
     * @param tickets the allowed runners and their tickets; the other runners that were named are not allowed
     * @param validMs how long the tickets are valid
     */
    record Decided(Map<String, String> tickets, long validMs) implements AdviceAnswer {

        /**
         * Creates the answer.
         *
         * @throws NullPointerException if {@code tickets} is null
         */
        public Decided {
            tickets = Map.copyOf(Objects.requireNonNull(tickets, "tickets is null"));
        }
    }

    /** Too many calls are waiting at the service. */
    record Limited() implements AdviceAnswer {}

    /**
     * No answer that can be used.
     *
     * @param problem what went wrong
     */
    record Failed(String problem) implements AdviceAnswer {

        /**
         * Creates the answer.
         *
         * @throws NullPointerException if {@code problem} is null
         */
        public Failed {
            Objects.requireNonNull(problem, "problem is null");
        }
    }
}
