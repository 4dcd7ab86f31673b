package org.pollensill.zone;

/**
 * Periods of the membership protocol, each on the clock of the process that measures it.
 *
 * @param confirmationValidityNs how long a read or a promise confirms an owner ({@code L})
 * @param takeoverWaitNs max time for which a former owner may act as confirmed after its successor adopted the view
 * @param heartbeatIntervalNs interval between heartbeats
 * @param suspicionTimeoutNs silence after which a member is suspected to have failed
 * @param readIntervalNs min interval between reads of the row by one member
 * @param staleReadAgeNs age of the latest read from which the other members read for themselves
 * @param proposalDelayPerRankNs delay of a proposal for each available member of lower rank; it avoids conflicting
 *     commits
 * @param resolutionDelayNs age of a view from which former owners that have stopped are removed from it; by then their
 *     releases have reached the new owners
 * @param stallThresholdNs gap between ticks after which the suspicion time-outs are restarted
 * @param answerTimeoutNs time after which a read or commit without an answer from the table service is unanswered
 */
public record ZoneTiming(
        long confirmationValidityNs,
        long takeoverWaitNs,
        long heartbeatIntervalNs,
        long suspicionTimeoutNs,
        long readIntervalNs,
        long staleReadAgeNs,
        long proposalDelayPerRankNs,
        long resolutionDelayNs,
        long stallThresholdNs,
        long answerTimeoutNs) {

    /** Max ratio of the rates of two clocks. */
    public static final int MAX_CLOCK_RATIO_PERCENT = 105;

    /** Nanoseconds in a millisecond. */
    public static final long NS_PER_MS = 1_000_000L;

    /**
     * Returns the standard periods.
     *
     * @return the periods
     */
    public static ZoneTiming standard() {
        long confirmationValidityNs = 2000 * NS_PER_MS;
        long takeoverWaitNs = withMaxClockDrift(confirmationValidityNs) + 200 * NS_PER_MS;
        return new ZoneTiming(
                confirmationValidityNs,
                takeoverWaitNs,
                250 * NS_PER_MS,
                1500 * NS_PER_MS,
                500 * NS_PER_MS,
                750 * NS_PER_MS,
                300 * NS_PER_MS,
                1000 * NS_PER_MS,
                750 * NS_PER_MS,
                3000 * NS_PER_MS);
    }

    /**
     * Returns the max time that another clock may measure for a period.
     *
     * @param periodNs the period
     * @return the period as measured by the fastest clock
     */
    public static long withMaxClockDrift(long periodNs) {
        return periodNs / 100 * MAX_CLOCK_RATIO_PERCENT + periodNs % 100 * MAX_CLOCK_RATIO_PERCENT / 100 + 1;
    }
}
