package org.pollensill.retry;

/** Estimates after which time without an answer a call is probably lost. */
public interface TimeoutEstimate {

    /**
     * Returns an estimate that follows the mean and the deviation of the measured times.
     *
     * @param bounds the bounds of the timeout
     * @return the estimate, without measurements
     */
    static TimeoutEstimate of(TimeoutBounds bounds) {
        return new RoundTripTimeout(bounds);
    }

    /**
     * Returns the current timeout.
     *
     * @return the timeout in milliseconds
     */
    long timeoutMs();

    /**
     * Records the time to an answer; the time to a late one counts too.
     *
     * @param elapsedMs the time in milliseconds
     * @throws IllegalArgumentException if the time is negative
     */
    void answered(long elapsedMs);
}
