package org.pollensill.contract;

import java.util.Objects;

/**
 * Error reported to the caller of a request that gets no answer.
 *
 * @param reason the reason
 * @param retryAfterMs suggested delay before a retry, 0 if none can be derived from the reason
 */
public record Refusal(Reason reason, long retryAfterMs) {

    /** Reasons, with the status code and the outcome reported to the caller. */
    public enum Reason {
        /** The kind's queue is full. */
        QUEUE_FULL(429, true),
        /** The expected wait and service time exceed the remaining deadline. */
        DEADLINE_TOO_SHORT(503, true),
        /** The deadline passed while the request waited. */
        DEADLINE_PASSED(503, true),
        /** No upstream of the service accepts requests from this owner. */
        NO_UPSTREAM(503, true),
        /** The upstream refused the request because of overload. */
        UPSTREAM_REFUSED(503, true),
        /** No usable connection to an upstream. */
        NOT_CONNECTED(503, true),
        /** This process is shutting down. */
        DRAINING(503, true),
        /** A request with the same id is in progress at this owner. */
        DUPLICATE(503, true),
        /** The caller cancelled the request or disconnected. */
        CANCELLED(503, true),
        /** The link between regions has no free capacity. */
        LINK_FULL(503, true),
        /** The claim of the idempotency key could not be stored. */
        STORE_DOWN(503, true),
        /** The idempotency key was used before with a different payload. */
        KEY_REUSED(422, true),
        /** The deadline passed after the request was dispatched. */
        ANSWER_LATE(504, false),
        /** The answer was lost, truncated or belonged to another request. */
        ANSWER_LOST(502, false),
        /** The outcome of an earlier request with the same idempotency key is unknown. */
        EARLIER_UNKNOWN(504, false);

        private final int status;
        private final boolean notRun;

        Reason(int status, boolean notRun) {
            this.status = status;
            this.notRun = notRun;
        }

        /**
         * Returns the HTTP status code.
         *
         * @return the status code
         */
        public int status() {
            return status;
        }

        /**
         * Returns whether it is certain that the request has not run and will not run.
         *
         * @return whether it is certain; otherwise the outcome is unknown
         */
        public boolean notRun() {
            return notRun;
        }
    }

    /**
     * Creates a refusal.
     *
     * @throws NullPointerException if {@code reason} is null
     * @throws IllegalArgumentException if {@code retryAfterMs} is negative
     */
    public Refusal {
        Objects.requireNonNull(reason, "reason is null");
        if (retryAfterMs < 0) {
            throw new IllegalArgumentException("retryAfterMs is negative: " + retryAfterMs);
        }
    }
}
