package org.pollensill.job;

import java.util.Objects;
import java.util.Optional;

/**
 * Where the tasks of a step may run.
 *
 * @param requiredLabel a label that the runner must have
 * @param dataRack the rack that holds the data; tasks elsewhere are slower
 * @param maxPerRunner most tasks of the step on one runner, 0 for no limit
 */
public record PlacementRule(Optional<String> requiredLabel, Optional<String> dataRack, int maxPerRunner) {

    /** Any runner will do. */
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
