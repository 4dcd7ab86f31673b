package org.pollensill.dispatch;

import java.util.ArrayList;
import java.util.Optional;

import org.pollensill.dispatch.DispatchListener.Cause;
import org.pollensill.job.Trait;
import org.pollensill.runner.HoldOrder;
import org.pollensill.runner.RunnerAddress;

/** The periodic part of the dispatcher: holds, lapsed leases, repeated stops, stalled tasks, leaving runners. */
final class Upkeep {

    /** A stop without effect is repeated after this time. */
    private static final long STOP_AGAIN_MS = 500;

    /** A task is stalled when it stands still for this many times the expected time of one percent. */
    private static final int STALL_FACTOR = 6;

    /** After an order without an answer, more are expected to be lost for this time. */
    private static final long LOSSY_MS = 5_000;

    private static final int PERCENT = 100;

    private final JobTable jobs;
    private final Fleet fleet;
    private final Reports reports;
    private final RunnerHealth health;
    private final Orders orders;
    private final long fence;
    private long unansweredAtMs = Long.MIN_VALUE / 2;

    Upkeep(JobTable jobs, Fleet fleet, Reports reports, RunnerHealth health, Orders orders, long fence) {
        this.jobs = jobs;
        this.fleet = fleet;
        this.reports = reports;
        this.health = health;
        this.orders = orders;
        this.fence = fence;
    }

    /** Notes that an order had no answer: a lost report is noticed sooner when reports wait less. */
    void noteUnanswered(long nowMs) {
        unansweredAtMs = nowMs;
    }

    void tick(long nowMs, boolean mayExtend) {
        for (RunnerState runner : new ArrayList<>(fleet.all())) {
            if (holdsOrdered(runner) && nowMs > runner.lapsedAtMs()) {
                lapse(runner, nowMs);
            }
            for (TaskState task : new ArrayList<>(runner.tasks.values())) {
                look(runner, task, nowMs);
            }
            if (holdIsDue(runner, nowMs, mayExtend)) {
                hold(runner, nowMs, mayExtend);
            }
        }
    }

    /** Extends the leases of all runners with work once more, without waiting for what they report. */
    void extendLeases(long nowMs) {
        for (RunnerState runner : new ArrayList<>(fleet.all())) {
            Optional<RunnerAddress> to = runner.address();
            if (to.isEmpty() || !runner.answers() || runner.tasks.isEmpty()) {
                continue;
            }
            long untilMs = runner.clock.get().leastMs(nowMs) + DispatchTiming.LEASE_MS;
            runner.grantUntil(untilMs);
            runner.holdSequence++;
            orders.hold(
                    to.get(), new HoldOrder(Optional.of(untilMs), fence, runner.durableEnd, 0), runner.holdSequence);
        }
    }

    /** Returns whether a start may have been sent to the runner for a task that it still holds. */
    private static boolean holdsOrdered(RunnerState runner) {
        for (TaskState task : runner.tasks.values()) {
            if (task.phase != TaskState.Phase.PLACED) {
                return true;
            }
        }
        return false;
    }

    private void lapse(RunnerState runner, long nowMs) {
        for (TaskState task : new ArrayList<>(runner.tasks.values())) {
            if (task.phase == TaskState.Phase.PLACED) {
                continue;
            }
            if (task.step.job.status.isFinal()) {
                task.release();
                continue;
            }
            reports.lose(task, Cause.LEASE_LAPSED, nowMs, 0);
        }
        runner.silentHolds = Math.max(1, runner.silentHolds);
    }

    private void look(RunnerState runner, TaskState task, long nowMs) {
        if (task.stopping) {
            if (nowMs - task.stopSentAtMs >= STOP_AGAIN_MS) {
                reports.stop(task, Cause.REFUSED, nowMs);
            }
            return;
        }
        if (task.phase != TaskState.Phase.RUNNING) {
            return;
        }
        if (runner.draining() && mustMove(runner, task, nowMs)) {
            reports.stop(task, Cause.DRAINING, nowMs);
            return;
        }
        health.working(runner, task, nowMs);
        if (stalled(runner, task, nowMs)) {
            health.stalled(runner, nowMs);
            reports.stop(task, Cause.STALLED, nowMs);
        }
    }

    /** A task leaves a draining runner unless it is expected to end before the runner goes. */
    private static boolean mustMove(RunnerState runner, TaskState task, long nowMs) {
        if (task.step.spec.is(Trait.RESTART_ALWAYS)) {
            return true;
        }
        if (!task.step.spec.is(Trait.CHECKPOINTS)) {
            return false;
        }
        long ranMs = nowMs - task.startedAtMs;
        long remainingMs =
                task.percent > 0 ? ranMs * (PERCENT - task.percent) / task.percent : task.step.spec.estimateMs();
        return remainingMs > runner.entry.get().remainingMs();
    }

    private static boolean stalled(RunnerState runner, TaskState task, long nowMs) {
        if (task.pace == 0 || task.percent >= PERCENT || task.step.spec.is(Trait.GANG)) {
            return false;
        }
        // Only a report that came after the pause can show that nothing has moved.
        long stillMs = runner.answeredAtMs - task.progressAtMs;
        long onePercentMs = task.percent > 0
                ? (task.progressAtMs - task.startedAtMs) / task.percent
                : task.step.spec.estimateMs() / PERCENT;
        return stillMs > Math.max(DispatchTiming.STALL_MS, STALL_FACTOR * onePercentMs);
    }

    private static boolean holdIsDue(RunnerState runner, long nowMs, boolean mayExtend) {
        if (runner.holdInFlight || runner.entry.isEmpty() || nowMs < runner.nextHoldAtMs) {
            return false;
        }
        if (!runner.listed && runner.tasks.isEmpty()) {
            return false;
        }
        if (!runner.fenced || runner.silentHolds > 0 || runner.durableEnd > runner.acknowledgedEnd) {
            return true;
        }
        if (runner.tasks.isEmpty()) {
            return nowMs - runner.answeredAtMs >= DispatchTiming.IDLE_LOOK_MS;
        }
        return mayExtend;
    }

    private void hold(RunnerState runner, long nowMs, boolean mayExtend) {
        Optional<RunnerAddress> to = runner.address();
        if (to.isEmpty()) {
            return;
        }
        Optional<Long> untilMs = Optional.empty();
        // A runner that has not answered is not extended any further: its leases must lapse some time, and a hold
        // without
        // an answer may still take effect.
        if (mayExtend && runner.answers() && !runner.tasks.isEmpty()) {
            untilMs = Optional.of(runner.clock.get().leastMs(nowMs) + DispatchTiming.LEASE_MS);
            runner.grantUntil(untilMs.get());
        }
        boolean wait = runner.fenced
                && runner.silentHolds == 0
                && !runner.tasks.isEmpty()
                && runner.seenEnd == runner.durableEnd;
        boolean shared = runner.serving() > 0 && runner.fillingMillicores > 0;
        boolean lossy = nowMs - unansweredAtMs < LOSSY_MS;
        long waitMs = shared || lossy ? DispatchTiming.SHORT_REPORT_WAIT_MS : DispatchTiming.REPORT_WAIT_MS;
        runner.holdSequence++;
        runner.holdInFlight = true;
        runner.acknowledgedEnd = runner.durableEnd;
        orders.hold(to.get(), new HoldOrder(untilMs, fence, runner.durableEnd, wait ? waitMs : 0), runner.holdSequence);
    }
}
