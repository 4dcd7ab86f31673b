package org.pollensill.contract;

/** Reason why an attempt ended without a complete answer. */
public enum AttemptFailure {
    /** Either side closed the connection before the end of the answer. */
    CONNECTION_LOST,
    /** The answer did not carry the id of the request; the connection is closed. */
    MISMATCHED,
    /** The answer was truncated or did not have the declared length; the connection is closed. */
    TRUNCATED,
    /** The upstream answered 503 with {@code Upstream-Refused: true}, so the request has not run. */
    REFUSED,
    /** As {@code REFUSED}, with {@code Upstream-Leaving: true}: the upstream is shutting down. */
    REFUSED_LEAVING;

    /**
     * Returns whether the upstream has stated that the request has not run.
     *
     * @return whether it has
     */
    boolean notRun() {
        return this == REFUSED || this == REFUSED_LEAVING;
    }
}
