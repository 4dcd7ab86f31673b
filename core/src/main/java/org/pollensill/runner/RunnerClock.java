package org.pollensill.runner;

/** What is known about a runner's steady clock, which may run 2% slow. Local times are monotonic milliseconds. */
public final class RunnerClock {

    /** The slowest rate of a runner's clock, from the platform's contract. */
    private static final double SLOWEST_RATE = 0.98;

    private final long readingMs;
    private final long receivedAtMs;

    private RunnerClock(long readingMs, long receivedAtMs) {
        this.readingMs = readingMs;
        this.receivedAtMs = receivedAtMs;
    }

    /**
     * Returns the clock after an answer.
     *
     * @param readingMs the clock in the answer
     * @param receivedAtMs local time at which the answer was received
     * @return the clock
     */
    public static RunnerClock of(long readingMs, long receivedAtMs) {
        return new RunnerClock(readingMs, receivedAtMs);
    }

    /**
     * Returns a time that the runner's clock has certainly reached.
     *
     * @param nowMs local time
     * @return the least possible reading
     */
    public long leastMs(long nowMs) {
        return readingMs + (long) ((nowMs - receivedAtMs) * SLOWEST_RATE);
    }

    /**
     * Returns the local time at which the runner's clock has certainly passed a reading.
     *
     * @param untilMs the reading
     * @return the local time
     */
    public long surelyPassedAtMs(long untilMs) {
        return receivedAtMs + (long) Math.ceil(Math.max(0, untilMs - readingMs) / SLOWEST_RATE) + 1;
    }

    /**
     * Returns the time that a span on a runner's clock takes at most.
     *
     * @param spanMs the span on the runner's clock
     * @return the longest local time
     */
    public static long longestMs(long spanMs) {
        return (long) Math.ceil(spanMs / SLOWEST_RATE);
    }
}
