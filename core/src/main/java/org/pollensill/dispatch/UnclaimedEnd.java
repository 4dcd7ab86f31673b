package org.pollensill.dispatch;

import java.util.Objects;

import org.pollensill.job.TaskName;
import org.pollensill.runner.EndKind;

/**
 * Describes the end of a run that the leader does not expect on its runner, of a task that has not ended.
 *
 * @param task the task
 * @param run the run that has ended
 * @param runner the runner that lists the end
 * @param number the number of the end
 * @param kind how the run has ended
 * @param currentRun the latest run of the task
 * @param currentRunner the runner of that run, empty where it has none
 */
public record UnclaimedEnd(
        TaskName task, int run, String runner, long number, EndKind kind, int currentRun, String currentRunner) {

    /**
     * Creates a description.
     *
     * @throws NullPointerException if an argument is null
     */
    public UnclaimedEnd {
        Objects.requireNonNull(task, "task is null");
        Objects.requireNonNull(runner, "runner is null");
        Objects.requireNonNull(kind, "kind is null");
        Objects.requireNonNull(currentRunner, "currentRunner is null");
    }
}
