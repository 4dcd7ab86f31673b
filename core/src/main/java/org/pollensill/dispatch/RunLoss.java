package org.pollensill.dispatch;

import java.util.Objects;

import org.pollensill.job.TaskName;

/**
 * Describes why a run was released from its runner, or is to be stopped, with what was known of the runner.
 *
 * @param task the task
 * @param run the run
 * @param runner the runner, empty where the run had none
 * @param cause the cause
 * @param released whether the task can be placed again; otherwise the run is being stopped
 * @param placedIncarnationStartMs the incarnation for which the run was placed, as Unix time in milliseconds
 * @param incarnationStartMs the incarnation that the leader knows, as Unix time in milliseconds
 * @param confirmedAtRenewal number of the last renewal sent before the run was confirmed; -1 where a former leader
 *     placed it, the maximum where the run is not confirmed
 * @param reportedRenewal number of the latest renewal whose report was applied
 * @param sentRenewal number of the latest renewal sent
 * @param leaseRemainingMs time until the lease of the runner is guaranteed to have expired, in milliseconds
 */
public record RunLoss(
        TaskName task,
        int run,
        String runner,
        DispatchListener.Cause cause,
        boolean released,
        long placedIncarnationStartMs,
        long incarnationStartMs,
        long confirmedAtRenewal,
        long reportedRenewal,
        long sentRenewal,
        long leaseRemainingMs) {

    /**
     * Creates a description.
     *
     * @throws NullPointerException if an argument is null
     */
    public RunLoss {
        Objects.requireNonNull(task, "task is null");
        Objects.requireNonNull(runner, "runner is null");
        Objects.requireNonNull(cause, "cause is null");
    }

    static RunLoss of(TaskState task, DispatchListener.Cause cause, boolean released, long nowMs) {
        RunnerState runner = task.runner;
        if (runner == null) {
            return new RunLoss(task.name, task.run, "", cause, released, 0, 0, task.confirmedAtRenewal, 0, 0, 0);
        }
        return new RunLoss(
                task.name,
                task.run,
                runner.id,
                cause,
                released,
                task.placedIncarnationStartMs,
                runner.incarnationStartMs,
                task.confirmedAtRenewal,
                runner.lastReportSequence,
                runner.renewalSequence,
                Math.max(0, runner.leaseExpiredAtMs() - nowMs));
    }
}
