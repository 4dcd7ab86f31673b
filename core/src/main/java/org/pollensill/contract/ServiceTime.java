package org.pollensill.contract;

/** Running estimate of the service time of requests of one kind. */
final class ServiceTime {

    private static final double SMOOTHING_WEIGHT = 1.0 / 32;
    private static final double TAIL_QUANTILE = 0.95;
    private static final int SAMPLE_INTERVAL = 32;

    private double meanNs;
    private double deviationNs;
    private double tailNs;
    private boolean hasSamples;
    private long unattainableCount;

    void recordSample(long serviceNs) {
        if (!hasSamples) {
            hasSamples = true;
            meanNs = serviceNs;
            deviationNs = serviceNs / 2.0;
            tailNs = serviceNs * 2.0;
            return;
        }
        double difference = serviceNs - meanNs;
        meanNs += SMOOTHING_WEIGHT * difference;
        deviationNs += SMOOTHING_WEIGHT * (Math.abs(difference) - deviationNs);
        // The steps up and down cancel out when the share of samples below the estimate is TAIL_QUANTILE.
        double step = Math.max(deviationNs, meanNs * 0.01) * SMOOTHING_WEIGHT * 4;
        tailNs = Math.max(meanNs, tailNs + (serviceNs > tailNs ? step * TAIL_QUANTILE : -step * (1 - TAIL_QUANTILE)));
    }

    /** Returns the mean, 0 if there is no sample yet. */
    double meanNs() {
        return meanNs;
    }

    /** Returns an estimate of the 95th percentile, {@code Long.MAX_VALUE} if there is no sample yet. */
    long tailNs() {
        return hasSamples ? (long) tailNs : Long.MAX_VALUE;
    }

    /**
     * Returns whether hardly any request completes within the remaining time. One in {@value #SAMPLE_INTERVAL} such
     * requests is admitted anyway; otherwise a kind that has only short deadlines would never measure that its service
     * has become faster.
     */
    boolean isDeadlineUnattainable(long remainingNs) {
        if (!hasSamples || remainingNs >= meanNs - 3 * deviationNs) {
            return false;
        }
        unattainableCount++;
        return unattainableCount % SAMPLE_INTERVAL != 0;
    }

    /** Returns the ratio of a service time to the mean, 1 if there is no sample yet. */
    double relativeToMean(long serviceNs) {
        return meanNs > 0 ? serviceNs / meanNs : 1;
    }

    /**
     * Returns the remaining time that a request requires when it leaves the queue. During a flood all requests of the
     * kind leave the queue with barely this time left, so it must be well above the mean: the slot of a request that
     * ends after its deadline is wasted.
     */
    long neededNs() {
        return (long) (meanNs + 3 * deviationNs);
    }
}
