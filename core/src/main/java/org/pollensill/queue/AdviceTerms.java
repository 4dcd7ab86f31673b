package org.pollensill.queue;

/**
 * How the advice service answers for a queue.
 *
 * @param decisionMs time of each call
 * @param perRunnerMs further time for each runner that a call names
 * @param validMs how long a ticket is valid
 */
public record AdviceTerms(long decisionMs, long perRunnerMs, long validMs) {

    /**
     * Creates terms.
     *
     * @throws IllegalArgumentException if a value is negative
     */
    public AdviceTerms {
        if (decisionMs < 0 || perRunnerMs < 0 || validMs < 0) {
            throw new IllegalArgumentException("negative time: " + decisionMs + ", " + perRunnerMs + ", " + validMs);
        }
    }

    /**
     * Returns how long a call takes.
     *
     * @param runners number of runners that it names
     * @return the time in milliseconds
     */
    public long callMs(int runners) {
        return decisionMs + perRunnerMs * runners;
    }
}
