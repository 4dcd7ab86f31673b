package org.pollensill.dispatch;

import java.util.List;
import java.util.Map;

import org.pollensill.job.JobStatus;
import org.pollensill.job.TaskName;

/** Receives each decision of the dispatcher, for logs and metrics. */
public interface DispatchListener {

    /** Why a run was lost, stopped or repeated. */
    enum Cause {
        /** The run failed. */
        FAILED,
        /** The run was stopped, its lease expired, or its gang was broken or incomplete. */
        ENDED_EARLY,
        /** The runner did not answer until its lease was guaranteed to have expired. */
        LEASE_LAPSED,
        /** The runner has restarted. */
        RUNNER_RESTARTED,
        /** The runner does not list the run in its report. */
        NOT_LISTED,
        /** The runner refused the start order, or the start could not be confirmed. */
        REFUSED,
        /** The run made no progress. */
        STALLED,
        /** The runner is draining. */
        DRAINING,
        /** The availability zone of the runner is being emptied, and the run had not begun there. */
        ZONE_EVACUATED,
        /** The run interferes with latency-critical tasks on its runner. */
        DISTURBS,
        /** The run was preempted to free capacity for a run-to-completion task. */
        PREEMPTED,
        /** The job has ended. */
        JOB_ENDED,
        /** A former run has completed the task. */
        COMPLETED
    }

    /**
     * Called when a task was placed.
     *
     * @param task the task
     * @param run its run
     * @param runner the runner
     * @param waitedMs time since the task became ready
     */
    void placed(TaskName task, int run, String runner, long waitedMs);

    /**
     * Called when a runner has confirmed a run.
     *
     * @param task the task
     * @param run its run
     * @param runner the runner
     */
    void started(TaskName task, int run, String runner);

    /**
     * Called when a task has completed.
     *
     * @param task the task
     * @param run its run
     * @param runner the runner
     */
    void done(TaskName task, int run, String runner);

    /**
     * Called when a run was lost or is to be stopped.
     *
     * @param loss the run, the cause and what was known of the runner
     */
    void lost(RunLoss loss);

    /**
     * Called when a runner lists the end of a run that is not expected there, of a task that has not ended.
     *
     * @param end the end
     */
    void unclaimedEnd(UnclaimedEnd end);

    /**
     * Called when a stored placement names another incarnation of its runner than the list of runners.
     *
     * @param task the task
     * @param run its run
     * @param runner the runner
     * @param recordedIncarnationStartMs the incarnation in the record, as Unix time in milliseconds
     * @param listedIncarnationStartMs the incarnation in the list, as Unix time in milliseconds
     */
    void incarnationMismatch(
            TaskName task, int run, String runner, long recordedIncarnationStartMs, long listedIncarnationStartMs);

    /**
     * Called when a job has a new state, which is not durable yet.
     *
     * @param job the job
     * @param status the state
     */
    void statusChanged(String job, JobStatus status);

    /**
     * Called once for each job that has an objective, when it has ended or its completion has lost its value.
     *
     * @param outcome how the job fared
     */
    void outcome(JobOutcome outcome);

    /**
     * Called when a long-running task is stopped to free capacity for a run-to-completion task.
     *
     * @param task the long-running task
     * @param runner its runner
     * @param ranMs time since the placement of its run, in milliseconds
     * @param beneficiary the task that waits for the capacity
     */
    void preempted(TaskName task, String runner, long ranMs, TaskName beneficiary);

    /**
     * Called about once a second.
     *
     * @param blocks the largest blocks of processors, against what waits
     */
    void capacityBlocks(CapacityBlocks blocks);

    /**
     * Called when the progress of a job cannot be recorded, because the store rejects its content.
     *
     * @param job the job, which is set aside
     * @param rows number of rows that cannot be written
     */
    void jobSetAside(String job, int rows);

    /**
     * Called when the progress of a job that was set aside is recorded.
     *
     * @param job the job
     */
    void jobResumed(String job);

    /**
     * Called when the memory of the leader has no room for a job that has not begun; it is taken up as others end.
     *
     * @param job the job
     * @param deferred the number of such jobs
     */
    void jobDeferred(String job, int deferred);

    /**
     * Called when a runner is quarantined.
     *
     * @param runner the runner
     * @param failures number of consecutive failures
     * @param forMs duration of the quarantine in milliseconds
     */
    void quarantined(String runner, int failures, long forMs);

    /**
     * Called about once a second, before the explanations of that second.
     *
     * @param longRunning number of long-running tasks that have waited for 2 s or more
     * @param other number of other tasks that have waited for 2 s or more
     */
    void waitingTasks(int longRunning, int other);

    /**
     * Called about once a second for each of up to 5 steps, those of each kind that have waited longest without an
     * explanation.
     *
     * @param report why the task of the step that has waited longest still waits
     */
    void waiting(WaitReport report);

    /**
     * Called once in a term for each of up to 20 runners that hold placements of former leaders and have not reported
     * within 0.5 s.
     *
     * @param placements the placements, and how long they are kept on the runner
     */
    void inherited(InheritedPlacements placements);

    /**
     * Called about once a second, before the descriptions of that second.
     *
     * @param tasksByCause number of long-running tasks that have been without a run for 6 s or more, by cause
     */
    void withoutRun(Map<WithoutRunCause, Integer> tasksByCause);

    /**
     * Called about once a second for each of up to 5 of these tasks, those that have been without a run for longest.
     *
     * @param description the task and why it has no run
     */
    void withoutRun(WithoutRun description);

    /**
     * Called when the free capacity of a runner is reserved for an overdue long-running task.
     *
     * @param task the task
     * @param runner the runner
     * @param withoutRunMs time for which the task has had no run, in milliseconds
     */
    void capacityReserved(TaskName task, String runner, long withoutRunMs);

    /**
     * Called about once a second.
     *
     * @param zones the availability zones that are being emptied, with what still runs there
     */
    void evacuating(List<ZoneStatus> zones);

    /**
     * Called when a runner has refused an order because it has seen a higher fencing token.
     *
     * @param runner the runner
     */
    void fenced(String runner);
}
