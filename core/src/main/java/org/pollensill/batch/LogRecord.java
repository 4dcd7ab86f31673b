package org.pollensill.batch;

import org.pollensill.worker.Resources;

/** A change of a shard's state. Replaying the records in order rebuilds the state. */
public sealed interface LogRecord {

    /**
     * A job was submitted.
     *
     * @param jobId the job's new id
     * @param submittedMs wall clock
     * @param spec the job's specification
     */
    record Submitted(String jobId, long submittedMs, JobSpec spec) implements LogRecord {}

    /**
     * A task is placed on a worker. The start is sent once this record is durable.
     *
     * @param task the task
     * @param attempt the attempt, the previous one plus one
     * @param worker the worker
     * @param resumeFrom the checkpoint to resume from, empty for none
     * @param allocated the resources reserved for it
     */
    record Placed(TaskId task, int attempt, String worker, String resumeFrom, Resources allocated)
            implements LogRecord {}

    /**
     * The attempt of a placed task neither runs nor can start later.
     *
     * @param task the task
     * @param attempt the attempt
     * @param reason why
     */
    record Unplaced(TaskId task, int attempt, String reason) implements LogRecord {}

    /**
     * The eviction of a task begins. The checkpoint is requested once this record is durable.
     *
     * @param task the task
     * @param attempt the attempt
     * @param checkpointId id for the checkpoint
     * @param reason why
     */
    record EvictionBegun(TaskId task, int attempt, String checkpointId, String reason) implements LogRecord {}

    /**
     * The worker confirmed that the task is checkpointed and stopped.
     *
     * @param task the task
     * @param attempt the attempt
     * @param checkpointId the checkpoint's identity
     */
    record Checkpointed(TaskId task, int attempt, String checkpointId) implements LogRecord {}

    /**
     * A worker reported the checkpoint of an attempt after the task was queued again.
     *
     * @param task the task
     * @param attempt the attempt that ended with the checkpoint
     * @param checkpointId the checkpoint's identity
     */
    record CheckpointFound(TaskId task, int attempt, String checkpointId) implements LogRecord {}

    /**
     * A task finished successfully.
     *
     * @param task the task
     * @param attempt the attempt
     */
    record Finished(TaskId task, int attempt) implements LogRecord {}

    /**
     * A task failed on a worker.
     *
     * @param task the task
     * @param attempt the attempt
     * @param healthyWorker the worker if the failure counts against the job, empty if the worker is quarantined
     * @param reason the reason that the worker reported
     */
    record Failed(TaskId task, int attempt, String healthyWorker, String reason) implements LogRecord {}

    /**
     * A job ends: none of its tasks starts any more.
     *
     * @param jobId the job
     * @param state cancelled or failed
     * @param reason why
     */
    record JobEnded(String jobId, JobState state, String reason) implements LogRecord {}

    /**
     * A worker was quarantined; failures of tasks on it no longer count against their jobs.
     *
     * @param worker the worker
     */
    record WorkerQuarantined(String worker) implements LogRecord {}

    /**
     * An ended job is removed from the state.
     *
     * @param jobId the job
     */
    record JobRemoved(String jobId) implements LogRecord {}
}
