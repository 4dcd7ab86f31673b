package org.pollensill.runner;

import java.util.Map;
import java.util.Objects;

/** Result of a call to the advice service. */
public sealed interface AdviceAnswer {

    /**
     * The service has decided.
     *
     * @param tickets ticket of each allowed runner by its identity; the other runners of the call are not allowed
     * @param validMs validity period of the tickets
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

    /** Rejected because too many calls are waiting at the service. */
    record Limited() implements AdviceAnswer {}

    /**
     * The call failed, or its answer is malformed.
     *
     * @param problem description of the failure
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
