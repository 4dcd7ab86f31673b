package org.pollensill.job;

import java.util.Objects;
import java.util.Optional;

/**
 * Constraints and preferences for the placement of the tasks of a step.
 *
 * @param requiredLabel a label that the runner must have
 * @param dataRack the rack that holds the input data; tasks on other racks are slower
 * @param maxPerRunner max tasks of the step on one runner, 0 for no limit
 */
public record PlacementRule(Optional<String> requiredLabel, Optional<String> dataRack, int maxPerRunner) {

    /** No constraint and no preference. */
    public static final PlacementRule ANY = new PlacementRule(Optional.empty(), Optional.empty(), 0);

    /**
     * Creates a rule.
     *
     * @throws NullPointerException if an argument is null
     */
    public PlacementRule {
        Objects.requireNonNull(requiredLabel, "requiredLabel is null");
        Objects.requireNonNull(dataRack, "dataRack is null");
    }
}
