package org.pollensill.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.pollensill.job.Trait;

/**
 * Reports the placements of former leaders that no runner confirms, and the long-running tasks that stay without a run.
 * It changes nothing that placement depends on.
 */
final class WithoutRunMonitor {

    /** Time without a run after which the users count a long-running task as missing. */
    static final long MISSING_AFTER_MS = 6_000;

    /** Minimum time between two rounds. */
    static final long INTERVAL_MS = 1_000;

    /** Maximum number of tasks that are described in a round. */
    static final int MAX_DESCRIBED_TASKS = 5;

    /** Time after the first orders in which reachable runners report. */
    static final long FIRST_REPORTS_MS = 500;

    /** Maximum number of runners with inherited placements that are described in a term. */
    static final int MAX_DESCRIBED_RUNNERS = 20;

    private static final Comparator<WithoutRun> LONGEST_FIRST =
            Comparator.comparingLong(WithoutRun::withoutRunMs).reversed();

    private final JobTable jobs;
    private final Fleet fleet;
    private final RunnerSelector runnerSelector;
    private final DispatchListener listener;
    /** Why the tasks of a step find no capacity, in the present round. */
    private final Map<StepState, WithoutRunCause> capacityCauses = new HashMap<>();

    private long lastRoundAtMs = Long.MIN_VALUE / 2;
    private Optional<Long> firstTickAtMs = Optional.empty();
    private boolean inheritedReported;

    WithoutRunMonitor(JobTable jobs, Fleet fleet, RunnerSelector runnerSelector, DispatchListener listener) {
        this.jobs = jobs;
        this.fleet = fleet;
        this.runnerSelector = runnerSelector;
        this.listener = listener;
    }

    void tick(long nowMs) {
        if (firstTickAtMs.isEmpty()) {
            firstTickAtMs = Optional.of(nowMs);
        }
        if (!inheritedReported && nowMs - firstTickAtMs.get() >= FIRST_REPORTS_MS) {
            inheritedReported = true;
            reportInherited(nowMs);
        }
        if (nowMs - lastRoundAtMs >= INTERVAL_MS) {
            lastRoundAtMs = nowMs;
            reportMissing(nowMs);
        }
    }

    private void reportInherited(long nowMs) {
        int described = 0;
        for (RunnerState runner : fleet.all()) {
            if (runner.fenceConfirmed || runner.tasks.isEmpty()) {
                continue;
            }
            if (described++ == MAX_DESCRIBED_RUNNERS) {
                return;
            }
            listener.inherited(new InheritedPlacements(
                    runner.id,
                    runner.listed,
                    runner.tasks.size(),
                    runner.tasks.keySet().iterator().next(),
                    Math.max(0, runner.leaseExpiredAtMs() - nowMs)));
        }
    }

    private void reportMissing(long nowMs) {
        Map<WithoutRunCause, Integer> tasksByCause = new EnumMap<>(WithoutRunCause.class);
        List<WithoutRun> missing = new ArrayList<>();
        for (StepState step : jobs.ready()) {
            if (step.job.status.isFinal() || !step.spec.hasTrait(Trait.RESTART_ALWAYS)) {
                continue;
            }
            for (TaskState task : step.tasks) {
                if (isMissing(task, nowMs)) {
                    WithoutRun description = describe(task, nowMs);
                    tasksByCause.merge(description.cause(), 1, Integer::sum);
                    missing.add(description);
                }
            }
        }
        capacityCauses.clear();
        listener.withoutRun(tasksByCause);
        missing.sort(LONGEST_FIRST);
        missing.stream().limit(MAX_DESCRIBED_TASKS).forEach(listener::withoutRun);
    }

    private static boolean isMissing(TaskState task, long nowMs) {
        boolean runs = task.phase == TaskState.Phase.RUNNING && !task.stopping && task.runner.isResponsive();
        return !runs && task.phase != TaskState.Phase.DONE && withoutRunMs(task, nowMs) >= MISSING_AFTER_MS;
    }

    private static long withoutRunMs(TaskState task, long nowMs) {
        if (task.phase != TaskState.Phase.RUNNING) {
            return nowMs - task.withoutRunSinceMs;
        }
        return nowMs - (task.stopping ? task.stopSentAtMs : task.runner.lastAnswerAtMs);
    }

    private WithoutRun describe(TaskState task, long nowMs) {
        RunnerState holder = task.runner;
        WithoutRunCause cause = holder == null ? causeOfWait(task, nowMs) : causeOnRunner(task);
        if (holder == null && cause == WithoutRunCause.RESERVED) {
            holder = reservedRunner(task).orElse(null);
        }
        if (holder == null) {
            return new WithoutRun(task.name, task.run, cause, withoutRunMs(task, nowMs), "", false, 0);
        }
        return new WithoutRun(
                task.name,
                task.run,
                cause,
                withoutRunMs(task, nowMs),
                holder.id,
                holder.listed,
                Math.max(0, holder.leaseExpiredAtMs() - nowMs));
    }

    private static WithoutRunCause causeOnRunner(TaskState task) {
        if (task.stopping) {
            return WithoutRunCause.STOPPING;
        }
        if (task.confirmedAtRenewal == RunOwnership.ANY_RENEWAL && !task.runner.fenceConfirmed) {
            return WithoutRunCause.INHERITED_LEASE;
        }
        return task.runner.isResponsive() ? WithoutRunCause.UNCONFIRMED_START : WithoutRunCause.SILENT_RUNNER;
    }

    private WithoutRunCause causeOfWait(TaskState task, long nowMs) {
        if (nowMs < task.notBeforeMs) {
            return WithoutRunCause.RETRY_DELAY;
        }
        if (reservedRunner(task).isPresent()) {
            return WithoutRunCause.RESERVED;
        }
        // All tasks of a step need the same.
        return capacityCauses.computeIfAbsent(task.step, step -> capacityCause(task, nowMs));
    }

    private WithoutRunCause capacityCause(TaskState task, long nowMs) {
        boolean onUnusable = false;
        for (RunnerState runner : fleet.all()) {
            Optional<PlacementObstacle> obstacle = runnerSelector.obstacleUncached(task, runner, nowMs);
            if (obstacle.isEmpty() || obstacle.get() == PlacementObstacle.RESERVED) {
                return WithoutRunCause.HELD;
            }
            onUnusable |=
                    obstacle.get() == PlacementObstacle.QUARANTINED || obstacle.get() == PlacementObstacle.BACKED_OFF;
        }
        return onUnusable ? WithoutRunCause.QUARANTINE : WithoutRunCause.NO_ROOM;
    }

    private Optional<RunnerState> reservedRunner(TaskState task) {
        for (RunnerState runner : fleet.all()) {
            if (runner.reservedFor == task) {
                return Optional.of(runner);
            }
        }
        return Optional.empty();
    }
}
