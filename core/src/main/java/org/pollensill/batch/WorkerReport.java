package org.pollensill.batch;

import java.util.List;
import java.util.Objects;

import org.pollensill.worker.Resources;

/**
 * A worker's report of its clock, the epoch that it has accepted and its tasks, as of one point in time.
 *
 * @param worker the worker
 * @param workerClockMs reading of its clock
 * @param epoch the accepted epoch
 * @param tasks its tasks; ended ones remain listed until acknowledged
 * @param usageAgeMs age of the usage readings
 */
public record WorkerReport(String worker, long workerClockMs, long epoch, List<TaskReport> tasks, long usageAgeMs) {

    /**
     * Creates a report.
     *
     * @throws NullPointerException if an argument is null
     */
    public WorkerReport {
        Objects.requireNonNull(worker, "worker is null");
        tasks = List.copyOf(Objects.requireNonNull(tasks, "tasks is null"));
    }

    /** State of a task on a worker. */
    public enum State {
        /** Is running. */
        RUNNING,
        /** Finished successfully. */
        FINISHED,
        /** Ended with a failure. */
        FAILED,
        /** Was stopped by a call or because its lease lapsed. */
        STOPPED,
        /** Was stopped after its checkpoint was written. */
        CHECKPOINTED
    }

    /**
     * A task on the worker.
     *
     * @param task the task
     * @param attempt the attempt
     * @param state its state
     * @param exitReason why it ended, empty for none
     * @param checkpointId the checkpoint's identity, empty for none
     * @param usage its resource usage
     * @param progressPercent its progress
     */
    public record TaskReport(
            TaskId task,
            int attempt,
            State state,
            String exitReason,
            String checkpointId,
            Resources usage,
            int progressPercent) {

        /**
         * Creates a task's entry.
         *
         * @throws NullPointerException if an argument is null
         */
        public TaskReport {
            Objects.requireNonNull(task, "task is null");
            Objects.requireNonNull(state, "state is null");
            Objects.requireNonNull(exitReason, "exitReason is null");
            Objects.requireNonNull(checkpointId, "checkpointId is null");
            Objects.requireNonNull(usage, "usage is null");
        }
    }
}
