package org.pollensill.worker;

/**
 * A reading of a worker's monotonic clock. It is older than its receipt by the delay of the answer.
 *
 * @param readingMs the reading
 * @param receivedNs local monotonic time of receipt
 */
public record WorkerClock(long readingMs, long receivedNs) {

    /** Minimum rate of a worker's clock relative to the local one that the lapse check tolerates. */
    private static final double MIN_CLOCK_RATE = 0.95;

    /** Margin for scheduling delays between a clock reading and its use. */
    private static final long MARGIN_MS = 200;

    private static final long NANOS_PER_MS = 1_000_000;

    /**
     * Returns an estimate of the worker's clock, which the true clock exceeds by up to the delay of the answer.
     *
     * @param nowNs local monotonic time
     * @return the estimate
     */
    public long estimateMs(long nowNs) {
        return readingMs + (nowNs - receivedNs) / NANOS_PER_MS;
    }

    /**
     * Returns whether a time of the worker's clock has definitely passed.
     *
     * @param timeMs the time in the worker's clock
     * @param nowNs local monotonic time
     * @return whether it has passed
     */
    public boolean hasPassed(long timeMs, long nowNs) {
        double elapsedMs = (double) (nowNs - receivedNs) / NANOS_PER_MS;
        return elapsedMs * MIN_CLOCK_RATE - MARGIN_MS >= timeMs - readingMs;
    }

    /**
     * Returns the time after which a lease has definitely lapsed if its last renewal is unknown.
     *
     * @param leaseMs the lease's length
     * @return the time to wait, in local monotonic time
     */
    public static long lapseBoundNs(long leaseMs) {
        return (leaseMs * 105 / 100 + MARGIN_MS) * NANOS_PER_MS;
    }
}
