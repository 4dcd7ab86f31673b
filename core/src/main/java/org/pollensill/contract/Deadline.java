package org.pollensill.contract;

/**
 * The time by which a caller needs its answer, on the monotonic clock of this process. Messages between processes carry
 * the remaining time instead, because the clocks of processes differ.
 *
 * @param atNs time on the monotonic clock
 */
public record Deadline(long atNs) {

    private static final long NS_PER_MS = 1_000_000;

    /**
     * Returns the deadline of a request that has just arrived.
     *
     * @param nowNs time of arrival
     * @param remainingMs time left for the answer; a negative value counts as 0
     * @return the deadline
     */
    public static Deadline after(long nowNs, long remainingMs) {
        // No request needs more than a day, and the limit prevents an overflow of the sum.
        long clampedMs = Math.max(0, Math.min(remainingMs, 86_400_000));
        return new Deadline(nowNs + clampedMs * NS_PER_MS);
    }

    /**
     * Returns the remaining time.
     *
     * @param nowNs current time
     * @return the remaining time, 0 if the deadline has passed
     */
    public long remainingNs(long nowNs) {
        return Math.max(0, atNs - nowNs);
    }

    /**
     * Returns whether the deadline has passed.
     *
     * @param nowNs current time
     * @return whether it has passed
     */
    public boolean passed(long nowNs) {
        return atNs - nowNs <= 0;
    }

    /**
     * Returns the remaining time to send to the next process: the remaining time minus the network round trip.
     *
     * @param nowNs current time
     * @param oneWayNs one-way network delay
     * @return whole milliseconds, rounded down so that the next process never has more time than remains
     */
    public long remainingMsAfterHop(long nowNs, long oneWayNs) {
        return Math.max(0, remainingNs(nowNs) - 2 * oneWayNs) / NS_PER_MS;
    }
}
