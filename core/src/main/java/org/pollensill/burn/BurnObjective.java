package org.pollensill.burn;

/**
 * Service-level objective of a kind of work.
 *
 * @param objective target share of requests answered within the latency bound
 * @param latencyBoundMs latency bound
 * @param windowDays length of the window over which the objective is measured
 */
public record BurnObjective(double objective, long latencyBoundMs, int windowDays) {

    /** Objective of kinds without an entry in the settings. */
    public static final BurnObjective DEFAULT = new BurnObjective(0.99, 1_000, 28);

    /**
     * Creates an objective.
     *
     * @throws IllegalArgumentException if a value is out of range
     */
    public BurnObjective {
        if (objective <= 0 || objective >= 1 || latencyBoundMs < 1 || windowDays < 1) {
            throw new IllegalArgumentException(
                    "objective is out of range: " + objective + ", " + latencyBoundMs + " ms, " + windowDays + " days");
        }
    }
}
