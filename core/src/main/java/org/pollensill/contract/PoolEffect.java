package org.pollensill.contract;

import java.util.Objects;

/** Action that the daemon carries out for an {@link OwnerPool}. */
public sealed interface PoolEffect {

    /**
     * Writes the request to the upstream. The dispatch is already recorded; if the daemon finds that it must not write,
     * it calls {@link OwnerPool#notWritten}.
     *
     * @param attempt the attempt
     * @param request the request
     */
    record Dispatch(Attempt attempt, RequestDescription request) implements PoolEffect {

        /**
         * Creates the effect.
         *
         * @throws NullPointerException if an argument is null
         */
        public Dispatch {
            Objects.requireNonNull(attempt, "attempt is null");
            Objects.requireNonNull(request, "request is null");
        }
    }

    /**
     * Forwards the attempt's complete answer to the caller.
     *
     * @param attempt the attempt
     * @param request the request
     */
    record Answer(Attempt attempt, RequestDescription request) implements PoolEffect {

        /**
         * Creates the effect.
         *
         * @throws NullPointerException if an argument is null
         */
        public Answer {
            Objects.requireNonNull(attempt, "attempt is null");
            Objects.requireNonNull(request, "request is null");
        }
    }

    /**
     * Reports to the caller that there is no answer, and whether it is certain that the request has not run.
     *
     * @param request the request
     * @param refusal why there is no answer
     */
    record Refuse(RequestDescription request, Refusal refusal) implements PoolEffect {

        /**
         * Creates the effect.
         *
         * @throws NullPointerException if an argument is null
         */
        public Refuse {
            Objects.requireNonNull(request, "request is null");
            Objects.requireNonNull(refusal, "refusal is null");
        }
    }

    /**
     * Closes the connection of an attempt that exceeded its execution bound without an answer. The daemon then calls
     * {@link OwnerPool#failed}.
     *
     * @param attempt the attempt
     */
    record CloseConnection(Attempt attempt) implements PoolEffect {

        /**
         * Creates the effect.
         *
         * @throws NullPointerException if {@code attempt} is null
         */
        public CloseConnection {
            Objects.requireNonNull(attempt, "attempt is null");
        }
    }

    /**
     * Sends a health probe to an upstream and reports the result through {@link OwnerPool#probed}.
     *
     * @param upstream the upstream's name
     */
    record Probe(String upstream) implements PoolEffect {

        /**
         * Creates the effect.
         *
         * @throws NullPointerException if {@code upstream} is null
         */
        public Probe {
            Objects.requireNonNull(upstream, "upstream is null");
        }
    }
}
