package org.pollensill.runner;

/**
 * Bounds of the reading of a runner's monotonic clock, which may run up to 2% slow. Local times are monotonic
 * milliseconds.
 */
public final class RunnerClock {

    /** Min rate of a runner's clock against the local clock, guaranteed by the platform's contract. */
    private static final double MIN_CLOCK_RATE = 0.98;

    private final long readingMs;
    private final long receivedAtMs;

    private RunnerClock(long readingMs, long receivedAtMs) {
        this.readingMs = readingMs;
        this.receivedAtMs = receivedAtMs;
    }

    /**
     * Returns the clock according to the last answer of the runner.
     *
     * @param readingMs reading of the clock in the answer
     * @param receivedAtMs local time at which the answer was received
     * @return the clock
     */
    public static RunnerClock of(long readingMs, long receivedAtMs) {
        return new RunnerClock(readingMs, receivedAtMs);
    }

    /**
     * Returns a lower bound of the current reading of the runner's clock.
     *
     * @param nowMs local time
     * @return the min possible reading
     */
    public long minReadingMs(long nowMs) {
        return readingMs + (long) ((nowMs - receivedAtMs) * MIN_CLOCK_RATE);
    }

    /**
     * Returns the local time from which on the runner's clock is guaranteed to have passed a reading.
     *
     * @param untilMs the reading
     * @return the local time
     */
    public long latestPassingMs(long untilMs) {
        return receivedAtMs + (long) Math.ceil(Math.max(0, untilMs - readingMs) / MIN_CLOCK_RATE) + 1;
    }

    /**
     * Returns the max local duration of a time span on a runner's clock.
     *
     * @param spanMs the span on the runner's clock
     * @return the max local duration
     */
    public static long maxLocalDurationMs(long spanMs) {
        return (long) Math.ceil(spanMs / MIN_CLOCK_RATE);
    }
}
