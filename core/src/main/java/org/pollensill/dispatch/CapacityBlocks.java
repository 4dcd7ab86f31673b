package org.pollensill.dispatch;

import java.util.Collection;

import org.pollensill.job.Trait;

/**
 * Blocks of processors of single runners, against what waits. Amounts are in thousandths of a core.
 *
 * @param largestFreeMillicores most free processors of a runner that takes tasks
 * @param largestPreemptibleMillicores most processors of such a runner that are free or used by long-running tasks
 * @param largestWaitingMillicores need of the largest run-to-completion task that waits, 0 where none waits
 * @param waitingMillicores need of all run-to-completion tasks that wait
 * @param beingFreedMillicores processors of the long-running tasks that are being stopped
 */
public record CapacityBlocks(
        long largestFreeMillicores,
        long largestPreemptibleMillicores,
        long largestWaitingMillicores,
        long waitingMillicores,
        long beingFreedMillicores) {

    /** Measures the runners and the ready steps. */
    static CapacityBlocks measure(Collection<RunnerState> runners, Collection<StepState> ready, long nowMs) {
        long largestFree = 0;
        long largestPreemptible = 0;
        long beingFreed = 0;
        for (RunnerState runner : runners) {
            if (!runner.accepts(nowMs)) {
                continue;
            }
            long free = runner.freeMillicores();
            largestFree = Math.max(largestFree, free);
            largestPreemptible =
                    Math.max(largestPreemptible, free + runner.longRunningResources.processorsMillicores());
            for (TaskState task : runner.tasks.values()) {
                if (task.stopping && task.step.spec.hasTrait(Trait.RESTART_ALWAYS)) {
                    beingFreed += task.step.spec.need().processorsMillicores();
                }
            }
        }
        long largestWaiting = 0;
        long waiting = 0;
        for (StepState step : ready) {
            int count = step.waiting();
            if (count == 0 || !step.runsToCompletion() || step.job.status.isFinal()) {
                continue;
            }
            long needMillicores = step.spec.need().processorsMillicores();
            largestWaiting = Math.max(largestWaiting, needMillicores);
            waiting += count * needMillicores;
        }
        return new CapacityBlocks(largestFree, largestPreemptible, largestWaiting, waiting, beingFreed);
    }
}
