package org.pollensill.batch;

/** A call of an operator or submitter. */
public sealed interface ClientCall {

    /**
     * Submits a job.
     *
     * @param spec the job's specification
     * @param submittedMs time of submission by the wall clock
     */
    record Submit(JobSpec spec, long submittedMs) implements ClientCall {}

    /**
     * Cancels a job.
     *
     * @param jobId the job
     * @param reason why
     */
    record Cancel(String jobId, String reason) implements ClientCall {}

    /**
     * Shows a job.
     *
     * @param jobId the job
     */
    record Show(String jobId) implements ClientCall {}

    /**
     * Lists jobs, latest first.
     *
     * @param team the team whose jobs are listed, empty for all teams
     * @param limit maximum number of jobs
     */
    record ListJobs(String team, int limit) implements ClientCall {}

    /**
     * Explains why a task waits, where it ran and why it was evicted.
     *
     * @param task the task
     */
    record Explain(TaskId task) implements ClientCall {}
}
