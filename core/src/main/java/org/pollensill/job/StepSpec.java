package org.pollensill.job;

import java.util.List;
import java.util.Objects;
import java.util.Set;

import org.pollensill.worker.Resources;

/**
 * A step of a job: a number of identical tasks.
 *
 * @param count number of tasks
 * @param need resources that each task needs
 * @param estimateMs estimated run time of a task, 0 if unknown
 * @param predecessors indexes of the earlier steps that must be done before this one starts
 * @param traits special properties of the tasks
 * @param placement constraints on where the tasks run
 * @param serviceLevel service level of tasks that serve users of their own
 */
public record StepSpec(
        int count,
        Resources need,
        long estimateMs,
        List<Integer> predecessors,
        Set<Trait> traits,
        PlacementRule placement,
        ServiceLevel serviceLevel) {

    /**
     * Creates a step.
     *
     * @throws NullPointerException if an argument is null
     * @throws IllegalArgumentException if {@code count} is less than 1
     */
    public StepSpec {
        Objects.requireNonNull(need, "need is null");
        predecessors = List.copyOf(Objects.requireNonNull(predecessors, "predecessors is null"));
        traits = Set.copyOf(Objects.requireNonNull(traits, "traits is null"));
        Objects.requireNonNull(placement, "placement is null");
        Objects.requireNonNull(serviceLevel, "serviceLevel is null");
        if (count < 1) {
            throw new IllegalArgumentException("count is less than 1: " + count);
        }
    }

    /**
     * Returns whether the step has a trait.
     *
     * @param trait the trait
     * @return true if it has the trait
     */
    public boolean hasTrait(Trait trait) {
        return traits.contains(trait);
    }

    /**
     * Returns the resources that a task reserves of a runner's capacity.
     *
     * @return the reserved resources; best-effort tasks reserve no processors
     */
    public Resources reservedResources() {
        return hasTrait(Trait.FILLS) ? new Resources(0, need.memoryBytes(), need.accelerators()) : need;
    }
}
