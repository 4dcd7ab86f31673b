package org.pollensill.job;

import java.util.List;
import java.util.Objects;
import java.util.Set;

import org.pollensill.worker.Resources;

/**
 * One step of a job: tasks that are alike.
 *
 * @param count number of tasks
 * @param need what each task needs
 * @param estimateMs rough run time of a task, 0 where unknown
 * @param after numbers of earlier steps that must be done first
 * @param traits what is special about the tasks
 * @param placement where the tasks may run
 * @param serving how the tasks serve users of their own
 */
public record StepSpec(
        int count,
        Resources need,
        long estimateMs,
        List<Integer> after,
        Set<Trait> traits,
        PlacementRule placement,
        Serving serving) {

    /**
     * Creates a step.
     *
     * @throws NullPointerException if an argument is null
     * @throws IllegalArgumentException if {@code count} is less than 1
     */
    public StepSpec {
        Objects.requireNonNull(need, "need is null");
        after = List.copyOf(Objects.requireNonNull(after, "after is null"));
        traits = Set.copyOf(Objects.requireNonNull(traits, "traits is null"));
        Objects.requireNonNull(placement, "placement is null");
        Objects.requireNonNull(serving, "serving is null");
        if (count < 1) {
            throw new IllegalArgumentException("count is less than 1: " + count);
        }
    }

    /**
     * Returns whether the step has a trait.
     *
     * @param trait the trait
     * @return whether it has
     */
    public boolean is(Trait trait) {
        return traits.contains(trait);
    }

    /**
     * Returns what a task takes of a runner's capacity.
     *
     * @return the amount that counts; tasks that fill leave the processors out
     */
    public Resources counted() {
        return is(Trait.FILLS) ? new Resources(0, need.memoryBytes(), need.accelerators()) : need;
    }
}
