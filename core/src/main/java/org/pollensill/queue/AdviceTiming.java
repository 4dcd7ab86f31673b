package org.pollensill.queue;

/**
 * Timing of the advice service for a queue.
 *
 * @param decisionMs fixed time of a call
 * @param perRunnerMs additional time of a call per candidate runner
 * @param validMs validity period of a ticket
 */
public record AdviceTiming(long decisionMs, long perRunnerMs, long validMs) {

    /**
     * Creates the timing values.
     *
     * @throws IllegalArgumentException if a value is negative
     */
    public AdviceTiming {
        if (decisionMs < 0 || perRunnerMs < 0 || validMs < 0) {
            throw new IllegalArgumentException("negative time: " + decisionMs + ", " + perRunnerMs + ", " + validMs);
        }
    }

    /**
     * Returns the expected time of a call.
     *
     * @param runners number of candidate runners
     * @return the time in milliseconds
     */
    public long callMs(int runners) {
        return decisionMs + perRunnerMs * runners;
    }
}
