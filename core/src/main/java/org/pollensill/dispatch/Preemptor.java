package org.pollensill.dispatch;

import java.util.ArrayList;
import java.util.List;
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

    /** Maximum number of tasks of a runner of which pairs are considered, to bound the time of a round. */
    private static final int MAX_PAIR_CANDIDATES = 6;

    private final Fleet fleet;
    private final RunnerSelector runnerSelector;
    private final ReportHandler reportHandler;

    Preemptor(Fleet fleet, RunnerSelector runnerSelector, ReportHandler reportHandler) {
        this.fleet = fleet;
        this.runnerSelector = runnerSelector;
        this.reportHandler = reportHandler;
    }

    /** Long-running tasks of one runner, and the fraction of what they use that waiting tasks would take. */
    private record Victims(RunnerState runner, List<TaskState> tasks, double usableFraction) {}

    /**
     * Stops long-running tasks until the waiting tasks of a step fit. The stops in progress count for every step, so that
     * many waiting steps do not stop a large part of the long-running tasks at once.
     *
     * @param waiting a task that fits on no runner
     * @param count number of such tasks in its step
     * @param nowMs the time
     */
    void preempt(TaskState waiting, int count, long nowMs) {
        Resources need = waiting.step.spec.need();
        long missingMillicores = count * need.processorsMillicores() - pendingMillicores(waiting);
        while (missingMillicores > 0) {
            Optional<Victims> victims = selectVictims(waiting, nowMs);
            if (victims.isEmpty()) {
                return;
            }
            victims.get().runner().preemptedAtMs = nowMs;
            for (TaskState task : victims.get().tasks()) {
                task.preempted = true;
                reportHandler.stop(task, Cause.PREEMPTED, nowMs);
                missingMillicores -= task.step.spec.need().processorsMillicores();
            }
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

    /** Returns what will be free on a runner after the stops in progress. */
    private static Resources expectedFree(RunnerState runner) {
        Resources free = runner.capacity().minus(runner.reservedResources);
        for (TaskState task : runner.tasks.values()) {
            if (task.stopping && isLongRunning(task)) {
                free = free.plus(task.step.spec.need());
            }
        }
        return free;
    }

    /** Returns how many times a need fits, 0 where more than the available amount is expected to be used already. */
    private static long fitCount(Resources need, Resources available) {
        return need.fitsIn(available) ? need.fitCount(available) : 0;
    }

    private static boolean isLongRunning(TaskState task) {
        return task.step.spec.hasTrait(Trait.RESTART_ALWAYS);
    }

    /** Capacity that is freed on a reserved runner would not go to the waiting task. */
    private boolean isCandidate(TaskState waiting, RunnerState runner, long nowMs) {
        return runner.reservedFor == null && runnerSelector.isEligible(waiting, runner, nowMs);
    }

    private Optional<Victims> selectVictims(TaskState waiting, long nowMs) {
        Victims best = null;
        for (RunnerState runner : fleet.all()) {
            if (!mayFitAfterPreemption(waiting, runner) || !isCandidate(waiting, runner, nowMs)) {
                continue;
            }
            Optional<Victims> found = selectVictims(waiting, runner, nowMs);
            if (found.isPresent() && (best == null || found.get().usableFraction() > best.usableFraction())) {
                best = found.get();
            }
        }
        return Optional.ofNullable(best);
    }

    /** Excludes at a low cost the runners on which a task would not even fit without all long-running tasks. */
    private static boolean mayFitAfterPreemption(TaskState waiting, RunnerState runner) {
        return runner.longRunningResources.processorsMillicores() > 0
                && waiting.step.spec.need().processorsMillicores()
                        <= runner.freeMillicores() + runner.longRunningResources.processorsMillicores();
    }

    /** Returns the tasks of a runner whose stop wastes least: one task if that is enough, else the best two. */
    private Optional<Victims> selectVictims(TaskState waiting, RunnerState runner, long nowMs) {
        List<TaskState> candidates = new ArrayList<>();
        for (TaskState task : runner.tasks.values()) {
            if (isPreemptible(task, waiting, nowMs)) {
                candidates.add(task);
            }
        }
        Resources free = expectedFree(runner);
        Victims best = null;
        for (TaskState task : candidates) {
            best = better(best, victims(waiting, runner, free, List.of(task)));
        }
        if (best != null) {
            return Optional.of(best);
        }
        int count = Math.min(MAX_PAIR_CANDIDATES, candidates.size());
        for (int i = 0; i < count; i++) {
            for (int j = i + 1; j < count; j++) {
                List<TaskState> pair = List.of(candidates.get(i), candidates.get(j));
                if (toleratesBoth(pair)) {
                    best = better(best, victims(waiting, runner, free, pair));
                }
            }
        }
        return Optional.ofNullable(best);
    }

    private static boolean toleratesBoth(List<TaskState> pair) {
        StepState step = pair.get(0).step;
        return step != pair.get(1).step || step.toleratesEvictions(pair.size(), MAX_UNAVAILABLE_FRACTION);
    }

    private static Victims better(Victims best, Optional<Victims> other) {
        boolean replaces = other.isPresent() && (best == null || other.get().usableFraction() > best.usableFraction());
        return replaces ? other.get() : best;
    }

    private static Optional<Victims> victims(
            TaskState waiting, RunnerState runner, Resources free, List<TaskState> tasks) {
        Resources need = waiting.step.spec.need();
        Resources freed = Resources.NONE;
        for (TaskState task : tasks) {
            freed = freed.plus(task.step.spec.need());
        }
        long gained = fitCount(need, free.plus(freed)) - fitCount(need, free);
        if (gained <= 0) {
            return Optional.empty();
        }
        double usableFraction =
                (double) gained * need.processorsMillicores() / Math.max(1, freed.processorsMillicores());
        return Optional.of(new Victims(runner, tasks, usableFraction));
    }

    private static boolean isPreemptible(TaskState task, TaskState waiting, long nowMs) {
        if (!isLongRunning(task) || task.stopping || task.phase != TaskState.Phase.RUNNING) {
            return false;
        }
        // The other members of a gang cannot go on alone, and the gang restarts only as a whole.
        if (nowMs < task.preemptibleFromMs || task.step.spec.hasTrait(Trait.GANG)) {
            return false;
        }
        if (task.step.job.status.isFinal() || task.step.job.priority < waiting.step.job.priority) {
            return false;
        }
        return task.step.toleratesEvictions(1, MAX_UNAVAILABLE_FRACTION);
    }
}
