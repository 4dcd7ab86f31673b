package org.pollensill.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.pollensill.job.Trait;

/** Explains at intervals why tasks wait. It changes nothing that placement depends on. */
final class WaitExplainer {

    /** Minimum time between two rounds of explanations. */
    static final long INTERVAL_MS = 1_000;

    /** Minimum waiting time of a task that is counted and explained. */
    static final long MIN_WAIT_MS = 2_000;

    /** Maximum number of steps that are explained in a round, by one task each. */
    static final int MAX_STEPS = 5;

    /** Number of those steps that long-running ones have first; other steps wait in far larger numbers. */
    static final int LONG_RUNNING_STEPS = 3;

    private static final Comparator<TaskState> BY_TIME_UNEXPLAINED =
            Comparator.comparingLong(task -> Math.max(task.readySinceMs, task.step.explainedAtMs));

    private final JobTable jobs;
    private final Fleet fleet;
    private final RunnerSelector runnerSelector;
    private final TaskScheduler taskScheduler;
    private final DispatchListener listener;
    private long lastRoundAtMs = Long.MIN_VALUE / 2;

    WaitExplainer(
            JobTable jobs,
            Fleet fleet,
            RunnerSelector runnerSelector,
            TaskScheduler taskScheduler,
            DispatchListener listener) {
        this.jobs = jobs;
        this.fleet = fleet;
        this.runnerSelector = runnerSelector;
        this.taskScheduler = taskScheduler;
        this.listener = listener;
    }

    /** Reports the numbers of waiting tasks and explains those that have waited longest without an explanation. */
    void tick(long nowMs) {
        if (nowMs - lastRoundAtMs < INTERVAL_MS) {
            return;
        }
        lastRoundAtMs = nowMs;
        List<TaskState> longRunning = new ArrayList<>();
        List<TaskState> other = new ArrayList<>();
        int longRunningTasks = 0;
        int otherTasks = 0;
        for (StepState step : jobs.ready()) {
            if (step.job.status.isFinal()) {
                continue;
            }
            TaskState first = null;
            int waiting = 0;
            if (step.tasks.untouched() > 0 && nowMs - step.readySinceMs >= MIN_WAIT_MS) {
                // One of them gets an object, so that it can be described.
                step.tasks.get(step.tasks.firstUntouched(0));
                waiting = step.tasks.untouched();
            }
            for (TaskState task : step.tasks) {
                if (task.phase != TaskState.Phase.WAITING || nowMs - task.readySinceMs < MIN_WAIT_MS) {
                    continue;
                }
                waiting++;
                if (first == null || task.readySinceMs < first.readySinceMs) {
                    first = task;
                }
            }
            if (first == null) {
                continue;
            }
            if (step.spec.hasTrait(Trait.RESTART_ALWAYS)) {
                longRunning.add(first);
                longRunningTasks += waiting;
            } else {
                other.add(first);
                otherTasks += waiting;
            }
        }
        listener.waitingTasks(longRunningTasks, otherTasks);
        listener.capacityBlocks(CapacityBlocks.measure(fleet.all(), jobs.ready(), nowMs));
        for (TaskState task : select(longRunning, other)) {
            task.step.explainedAtMs = nowMs;
            listener.waiting(explain(task, nowMs));
        }
    }

    private static List<TaskState> select(List<TaskState> longRunning, List<TaskState> other) {
        longRunning.sort(BY_TIME_UNEXPLAINED);
        other.sort(BY_TIME_UNEXPLAINED);
        int otherSteps = Math.min(other.size(), MAX_STEPS - Math.min(longRunning.size(), LONG_RUNNING_STEPS));
        List<TaskState> selected = new ArrayList<>();
        selected.addAll(longRunning.subList(0, Math.min(longRunning.size(), MAX_STEPS - otherSteps)));
        selected.addAll(other.subList(0, otherSteps));
        return selected;
    }

    private WaitReport explain(TaskState task, long nowMs) {
        StepState step = task.step;
        Map<PlacementObstacle, Integer> runnersByObstacle = new EnumMap<>(PlacementObstacle.class);
        int fitting = 0;
        for (RunnerState runner : fleet.all()) {
            if (!runner.listed) {
                continue;
            }
            Optional<PlacementObstacle> obstacle = obstacle(task, runner, nowMs);
            if (obstacle.isPresent()) {
                runnersByObstacle.merge(obstacle.get(), 1, Integer::sum);
            } else {
                fitting++;
            }
        }
        return new WaitReport(
                task.name,
                step.spec.hasTrait(Trait.RESTART_ALWAYS),
                nowMs - task.readySinceMs,
                step.waiting(),
                step.spec.need(),
                runnersByObstacle,
                fitting,
                fitting > 0 && taskScheduler.holdsSlotForShortTasks(task, nowMs),
                Math.max(0, jobs.placementCounts().ofOtherSteps(step) - task.othersPlacedWhenReady));
    }

    private Optional<PlacementObstacle> obstacle(TaskState task, RunnerState runner, long nowMs) {
        // The other counts then concern only runners that the task may use at some time.
        if (!RunnerSelector.matches(task.step, runner)) {
            return PlacementObstacle.NO_MATCH.found();
        }
        return runnerSelector.obstacleUncached(task, runner, nowMs);
    }
}
