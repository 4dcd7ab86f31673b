package org.pollensill.burn;

/** Outcome of a request with respect to its service-level objective. */
public enum Verdict {
    /** Answered within the latency bound. */
    MET,
    /** Answered after the latency bound. */
    LATE,
    /** Refused before it was run. */
    REFUSED,
    /** Failed, or the outcome is unknown. */
    FAILED;

    /**
     * Returns whether the request consumes error budget.
     *
     * @return true for all but {@link #MET}
     */
    public boolean isBad() {
        return this != MET;
    }

    /**
     * Returns the verdict on an answered request.
     *
     * @param latencyMs time until the answer was complete
     * @param latencyBoundMs latency bound of the objective
     * @return {@link #MET} or {@link #LATE}
     */
    public static Verdict answered(long latencyMs, long latencyBoundMs) {
        return latencyMs <= latencyBoundMs ? MET : LATE;
    }
}
