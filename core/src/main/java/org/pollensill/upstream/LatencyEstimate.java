package org.pollensill.upstream;

/**
 * Exponentially weighted moving average of an upstream's latency with a tail term. Latencies are ratios to the usual
 * latency of the request's kind, so that an upstream that gets more requests of long kinds is not taken for a slow one.
 */
public final class LatencyEstimate {

    private static final double SMOOTHING_FACTOR = 1.0 / 16;

    /** Mean deviations in the tail term; mean plus 2 is about the 95th percentile of an exponential distribution. */
    private static final double DEVIATION_MULTIPLIER = 2;

    private double mean = 1;
    private double deviation;

    /**
     * Adds a latency sample.
     *
     * @param ratio latency divided by the usual latency of the request's kind
     */
    public void add(double ratio) {
        double difference = ratio - mean;
        mean += SMOOTHING_FACTOR * difference;
        deviation += SMOOTHING_FACTOR * (Math.abs(difference) - deviation);
    }

    /** Resets the estimate to the usual latency, as for an upstream that returns to use. */
    public void reset() {
        mean = 1;
        deviation = 0;
    }

    /**
     * Returns the mean ratio.
     *
     * @return the mean; 1 is the usual latency
     */
    public double mean() {
        return mean;
    }

    /**
     * Returns the mean ratio plus the tail term.
     *
     * @return the estimate by which upstreams are compared
     */
    public double withTail() {
        return mean + DEVIATION_MULTIPLIER * deviation;
    }
}
