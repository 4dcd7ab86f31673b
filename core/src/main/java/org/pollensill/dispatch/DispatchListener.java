package org.pollensill.dispatch;

import org.pollensill.job.JobStatus;
import org.pollensill.job.TaskName;

/** Is told of each decision, for logs and metrics. */
public interface DispatchListener {

    /** Why a run is given up or repeated. */
    enum Cause {
        /** The run ended as failed. */
        FAILED,
        /** The run was stopped, lapsed or broken off. */
        ENDED_EARLY,
        /** The runner's lease has surely expired without an answer. */
        LEASE_LAPSED,
        /** The runner has started anew. */
        RUNNER_RESTARTED,
        /** The runner does not list the run. */
        NOT_LISTED,
        /** The runner refused the start. */
        REFUSED,
        /** The progress stands still. */
        STALLED,
        /** The runner is about to leave. */
        DRAINING,
        /** The runner serves others, whom the task disturbs. */
        DISTURBS,
        /** A short task needs the room. */
        PREEMPTED,
        /** The job has ended. */
        JOB_ENDED
    }

    /**
     * A task was placed.
     *
     * @param task the task
     * @param run its run
     * @param runner the runner
     * @param waitedMs time since the task could have started
     */
    void placed(TaskName task, int run, String runner, long waitedMs);

    /**
     * A run was confirmed by its runner.
     *
     * @param task the task
     * @param run its run
     * @param runner the runner
     */
    void started(TaskName task, int run, String runner);

    /**
     * A task has ended well.
     *
     * @param task the task
     * @param run its run
     * @param runner the runner
     */
    void done(TaskName task, int run, String runner);

    /**
     * A run is to be given up, or was lost.
     *
     * @param task the task
     * @param run its run
     * @param runner the runner
     * @param cause why
     */
    void lost(TaskName task, int run, String runner, Cause cause);

    /**
     * A job has a new state, not yet recorded.
     *
     * @param job the job
     * @param status the state
     */
    void status(String job, JobStatus status);

    /**
     * A runner is set aside.
     *
     * @param runner the runner
     * @param failures failures in a row
     * @param forMs how long
     */
    void setAside(String runner, int failures, long forMs);

    /**
     * A runner has refused an order because of a higher fencing token.
     *
     * @param runner the runner
     */
    void fenced(String runner);
}
