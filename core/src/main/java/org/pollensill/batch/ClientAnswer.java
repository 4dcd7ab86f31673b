package org.pollensill.batch;

import java.util.List;
import java.util.Objects;

/** Answer to a client call. */
public sealed interface ClientAnswer {

    /**
     * The submitted job is durable.
     *
     * @param job the job
     * @param created false if a job with the same key and specification already existed
     */
    record Submitted(JobView job, boolean created) implements ClientAnswer {}

    /**
     * A job with the same key but another specification exists.
     *
     * @param jobId id of the existing job
     */
    record KeyTaken(String jobId) implements ClientAnswer {}

    /**
     * The cancellation is durable and none of the job's tasks starts any more.
     *
     * @param job the job
     */
    record Cancelled(JobView job) implements ClientAnswer {}

    /**
     * The cancellation is durable, but a start that was sent earlier may still take effect.
     *
     * @param job the job
     */
    record Cancelling(JobView job) implements ClientAnswer {}

    /**
     * The requested job.
     *
     * @param job the job
     */
    record Shown(JobView job) implements ClientAnswer {}

    /**
     * The jobs that match a query.
     *
     * @param jobs the jobs
     */
    record Listed(List<JobView> jobs) implements ClientAnswer {

        /**
         * Creates the answer.
         *
         * @throws NullPointerException if {@code jobs} is null
         */
        public Listed {
            jobs = List.copyOf(Objects.requireNonNull(jobs, "jobs is null"));
        }
    }

    /**
     * The requested task with the reasons for its state.
     *
     * @param task the task
     */
    record Explained(TaskView task) implements ClientAnswer {}

    /**
     * The requested job or task does not exist.
     *
     * @param what the requested job or task
     */
    record NotFound(String what) implements ClientAnswer {}

    /**
     * The call had no effect and can be retried later.
     *
     * @param reason the reason
     */
    record Unavailable(String reason) implements ClientAnswer {}

    /**
     * The outcome of the call is unknown; retrying it is safe.
     *
     * @param reason the reason
     */
    record Unknown(String reason) implements ClientAnswer {}

    /**
     * Client view of a job.
     *
     * @param id the job's id
     * @param key its idempotency key
     * @param team its team
     * @param state its state; an end is shown only once it is durable
     * @param reason why it ended or what it waits for
     * @param submittedMs time of submission by the wall clock
     * @param tasks number of tasks
     * @param queued number of queued tasks
     * @param placed number of placed tasks, which may run
     * @param ended number of ended tasks
     */
    record JobView(
            String id,
            String key,
            String team,
            JobState state,
            String reason,
            long submittedMs,
            int tasks,
            int queued,
            int placed,
            int ended) {}

    /**
     * Client view of a task.
     *
     * @param id the task's id
     * @param state its state
     * @param attempt number of its latest attempt
     * @param worker the worker of that attempt, empty before the first
     * @param resumeFrom the checkpoint that the current or next attempt resumes from
     * @param waitsFor why it is queued, empty if it is not
     * @param history its latest events, oldest first
     */
    record TaskView(
            String id,
            TaskState state,
            int attempt,
            String worker,
            String resumeFrom,
            String waitsFor,
            List<String> history) {

        /**
         * Creates a view.
         *
         * @throws NullPointerException if {@code history} is null
         */
        public TaskView {
            history = List.copyOf(Objects.requireNonNull(history, "history is null"));
        }
    }
}
