package org.pollensill.dispatch;

import java.util.Set;

import org.pollensill.job.TaskName;
import org.pollensill.job.Trait;

/**
 * Former runs of members of gangs that a runner reports to be at work. A gang starts as a whole, so such a run is not
 * taken back: it is stopped, and the gang waits for its end.
 */
final class StrayRuns {

    private StrayRuns() {}

    /** Lets the gang of a task wait until the runner no longer lists the former run, or for the longest lease. */
    static void add(TaskState task, RunnerState runner, long nowMs) {
        if (task.step.spec.hasTrait(Trait.GANG)) {
            runner.strayRuns.add(task);
            task.strayRunEndMs = nowMs + DispatchTiming.maxLocalLeaseMs(DispatchTiming.MAX_LEASE_MS);
        }
    }

    /** Ends the wait for the runs that a runner no longer lists. */
    static void forgetEnded(RunnerState runner, Set<TaskName> running) {
        runner.strayRuns.removeIf(task -> {
            boolean ended = !running.contains(task.name);
            if (ended) {
                task.strayRunEndMs = 0;
            }
            return ended;
        });
    }
}
