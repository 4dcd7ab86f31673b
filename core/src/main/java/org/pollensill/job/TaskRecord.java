package org.pollensill.job;

import java.util.Objects;
import java.util.Optional;

/**
 * Stored progress of a task that has been placed at least once.
 *
 * @param occurrence the occurrence of the job
 * @param step index of the step
 * @param index index of the task within the step
 * @param done whether the task has completed successfully
 * @param run number of the last run of the task
 * @param failures number of runs that have failed
 * @param checkpoint the last checkpoint, empty for none
 * @param assignedRunner the runner that may be running the task, empty if there is none
 */
public record TaskRecord(
        int occurrence,
        int step,
        int index,
        boolean done,
        int run,
        int failures,
        String checkpoint,
        Optional<RunnerIncarnation> assignedRunner) {

    /**
     * An incarnation of a runner.
     *
     * @param runnerId the runner
     * @param incarnationStartMs Unix time of the start of the incarnation
     */
    public record RunnerIncarnation(String runnerId, long incarnationStartMs) {

        /**
         * Creates an incarnation.
         *
         * @throws NullPointerException if {@code runnerId} is null
         */
        public RunnerIncarnation {
            Objects.requireNonNull(runnerId, "runnerId is null");
        }
    }

    /**
     * Creates a record.
     *
     * @throws NullPointerException if an argument is null
     */
    public TaskRecord {
        Objects.requireNonNull(checkpoint, "checkpoint is null");
        Objects.requireNonNull(assignedRunner, "assignedRunner is null");
    }
}
