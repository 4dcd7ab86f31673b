package org.pollensill.upstream;

/**
 * Limits of one request kind on each upstream.
 *
 * @param slotsPerUpstreamCap maximum slots of one upstream that the kind may hold
 * @param executionBoundNs maximum time for which an upstream works on a request
 */
public record KindLimits(int slotsPerUpstreamCap, long executionBoundNs) {

    /**
     * Creates limits.
     *
     * @throws IllegalArgumentException if a value is less than 1
     */
    public KindLimits {
        if (slotsPerUpstreamCap < 1 || executionBoundNs < 1) {
            throw new IllegalArgumentException("slotsPerUpstreamCap or executionBoundNs is less than 1: "
                    + slotsPerUpstreamCap + ", " + executionBoundNs);
        }
    }
}
