package org.pollensill.dispatch;

import java.util.Optional;

import org.pollensill.dispatch.DispatchListener.Cause;
import org.pollensill.job.Trait;
import org.pollensill.worker.Resources;

/**
 * Preempts long-running tasks in favour of short tasks when the fleet is full. A long-running task yields little value
 * per processor second; it waits until the short tasks have run.
 */
final class Preemptor {

    /** Maximum fraction of a step's tasks that may be unavailable, for steps that set no limit of their own. */
    private static final double MAX_UNAVAILABLE_FRACTION = 0.34;

    private final Fleet fleet;
    private final RunnerSelector runnerSelector;
    private final ReportHandler reportHandler;
    private final DispatchListener listener;

    Preemptor(Fleet fleet, RunnerSelector runnerSelector, ReportHandler reportHandler, DispatchListener listener) {
        this.fleet = fleet;
        this.runnerSelector = runnerSelector;
        this.reportHandler = reportHandler;
        this.listener = listener;
    }

    /** A long-running task and the fraction of its processors that waiting tasks would use. */
    private record Victim(TaskState task, double usableFraction) {}

    /**
     * Stops long-running tasks until the waiting tasks of a step fit, counting the stops that are in progress.
     *
     * @param waiting a task that fits on no runner
     * @param count number of such tasks in its step
     * @param nowMs the time
     */
    void preempt(TaskState waiting, int count, long nowMs) {
        long missingMillicores = count * waiting.step.spec.need().processorsMillicores() - pendingMillicores(waiting);
        while (missingMillicores > 0) {
            Optional<Victim> victim = selectVictim(waiting, nowMs);
            if (victim.isEmpty()) {
                return;
            }
            TaskState task = victim.get().task();
            task.preempted = true;
            listener.preempted(task.name, task.runner.id, nowMs - task.startedAtMs, waiting.name);
            task.runner.preemptedAtMs = nowMs;
            reportHandler.stop(task, Cause.PREEMPTED, nowMs);
            missingMillicores -= task.step.spec.need().processorsMillicores();
        }
    }

    /** Returns the processors that are freed by stops in progress. */
    private long pendingMillicores(TaskState waiting) {
        long pending = 0;
        for (RunnerState runner : fleet.all()) {
            for (TaskState task : runner.tasks.values()) {
                if (task.stopping && isLongRunning(task) && task.step.job.service.equals(waiting.step.job.service)) {
                    pending += task.step.spec.need().processorsMillicores();
                }
            }
        }
        return pending;
    }

    private static boolean isLongRunning(TaskState task) {
        return task.step.spec.hasTrait(Trait.RESTART_ALWAYS);
    }

    private Optional<Victim> selectVictim(TaskState waiting, long nowMs) {
        Victim best = null;
        for (RunnerState runner : fleet.all()) {
            // Capacity that is freed on a reserved runner would not go to the waiting task.
            if (runner.reservedFor != null || !runnerSelector.isEligible(waiting, runner, nowMs)) {
                continue;
            }
            for (TaskState task : runner.tasks.values()) {
                if (!isPreemptible(task, waiting, nowMs)) {
                    continue;
                }
                double usableFraction = usableFraction(runner, task.step.spec.need(), waiting.step.spec.need());
                if (usableFraction > 0 && (best == null || usableFraction > best.usableFraction())) {
                    best = new Victim(task, usableFraction);
                }
            }
        }
        return Optional.ofNullable(best);
    }

    private static boolean isPreemptible(TaskState task, TaskState waiting, long nowMs) {
        if (!isLongRunning(task) || task.stopping || task.phase != TaskState.Phase.RUNNING) {
            return false;
        }
        // The other members of a gang cannot go on alone, and the gang restarts only as a whole.
        if (nowMs < task.preemptibleFromMs || task.step.spec.hasTrait(Trait.GANG)) {
            return false;
        }
        JobState job = task.step.job;
        if (job.status.isFinal() || job.terms.isEmpty() || job.priority() < waiting.step.job.priority()) {
            return false;
        }
        return task.step.toleratesEviction(MAX_UNAVAILABLE_FRACTION);
    }

    /** Returns the fraction of the freed processors that additional tasks would use. */
    private static double usableFraction(RunnerState runner, Resources freed, Resources need) {
        Resources free = runner.capacity().minus(runner.reservedResources);
        long additional = need.fitCount(free.plus(freed)) - need.fitCount(free);
        return (double) additional * need.processorsMillicores() / Math.max(1, freed.processorsMillicores());
    }
}
