package org.pollensill.dispatch;

import java.util.Objects;

import org.pollensill.job.TaskName;

/**
 * Describes a long-running task that has been without a run for longer than users accept.
 *
 * @param task the task
 * @param run number of its last run
 * @param cause why it has none
 * @param withoutRunMs time for which it may have had none, in milliseconds
 * @param runner the runner that may still hold its last run, or that is reserved for it; empty where there is none
 * @param runnerListed whether the list of runners shows that runner
 * @param leaseRemainingMs time until the lease of that runner is guaranteed to have expired, in milliseconds
 */
public record WithoutRun(
        TaskName task,
        int run,
        WithoutRunCause cause,
        long withoutRunMs,
        String runner,
        boolean runnerListed,
        long leaseRemainingMs) {

    /**
     * Creates a description.
     *
     * @throws NullPointerException if an argument is null
     */
    public WithoutRun {
        Objects.requireNonNull(task, "task is null");
        Objects.requireNonNull(cause, "cause is null");
        Objects.requireNonNull(runner, "runner is null");
    }
}
