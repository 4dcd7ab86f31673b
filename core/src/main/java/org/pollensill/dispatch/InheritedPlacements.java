package org.pollensill.dispatch;

import java.util.Objects;

import org.pollensill.job.TaskName;

/**
 * Describes the placements of former leaders on a runner that has not reported to their successor.
 *
 * @param runner the runner
 * @param listed whether the list of runners shows it
 * @param tasks number of tasks that are kept on it
 * @param firstTask one of them
 * @param leaseRemainingMs time until the leases of former leaders are guaranteed to have expired, in milliseconds
 */
public record InheritedPlacements(String runner, boolean listed, int tasks, TaskName firstTask, long leaseRemainingMs) {

    /**
     * Creates a description.
     *
     * @throws NullPointerException if an argument is null
     */
    public InheritedPlacements {
        Objects.requireNonNull(runner, "runner is null");
        Objects.requireNonNull(firstTask, "firstTask is null");
    }
}
