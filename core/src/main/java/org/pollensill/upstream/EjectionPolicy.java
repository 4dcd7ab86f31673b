package org.pollensill.upstream;

/**
 * Thresholds for ejecting outlier upstreams and probing them.
 *
 * @param consecutiveFailures consecutive failures after which an upstream is ejected
 * @param latencyRatio multiple of the median latency above which an upstream is slow
 * @param slowWindows consecutive slow windows after which an upstream is ejected
 * @param windowNs length of a measurement window
 * @param maxEjectedPercent maximum share of the owner's upstreams that are ejected at the same time
 * @param probeIntervalNs interval between two probes of an upstream
 */
public record EjectionPolicy(
        int consecutiveFailures,
        double latencyRatio,
        int slowWindows,
        long windowNs,
        int maxEjectedPercent,
        long probeIntervalNs) {

    private static final long NS_PER_S = 1_000_000_000L;

    /**
     * Creates a policy.
     *
     * @throws IllegalArgumentException if a value is out of range
     */
    public EjectionPolicy {
        if (consecutiveFailures < 1 || latencyRatio <= 1 || slowWindows < 1) {
            throw new IllegalArgumentException("consecutiveFailures, latencyRatio or slowWindows is out of range: "
                    + consecutiveFailures + ", " + latencyRatio + ", " + slowWindows);
        }
        if (windowNs < 1 || maxEjectedPercent < 0 || maxEjectedPercent > 100 || probeIntervalNs < 1) {
            throw new IllegalArgumentException("windowNs, maxEjectedPercent or probeIntervalNs is out of range: "
                    + windowNs + ", " + maxEjectedPercent + ", " + probeIntervalNs);
        }
    }

    /**
     * Returns the default policy: ejection after 5 consecutive failures, or after 2 consecutive windows of 2 s with
     * more than 3 times the median latency; at most 20% ejected; a probe every second.
     *
     * @return the policy
     */
    public static EjectionPolicy standard() {
        return new EjectionPolicy(5, 3, 2, 2 * NS_PER_S, 20, NS_PER_S);
    }

    /**
     * Returns this policy with the values that the settings define.
     *
     * @param newMaxEjectedPercent maximum share of the owner's upstreams that are ejected at the same time
     * @param newProbeIntervalMs interval between two probes of an upstream
     * @return the policy
     */
    public EjectionPolicy with(int newMaxEjectedPercent, long newProbeIntervalMs) {
        return new EjectionPolicy(
                consecutiveFailures,
                latencyRatio,
                slowWindows,
                windowNs,
                newMaxEjectedPercent,
                newProbeIntervalMs * 1_000_000);
    }
}
