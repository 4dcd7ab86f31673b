package org.pollensill.dispatch;

import java.util.ArrayList;

import org.pollensill.job.Trait;
import org.pollensill.runner.RunnerReport;

/**
 * Restrains tasks that fill where they disturb tasks that serve: paces them to a stop when a tail comes near its
 * bound, lets them work again by steps, and moves those that have stood still for long.
 */
final class Sharing {

    /** Part of its bound at which a tail counts as disturbed. */
    private static final double NEAR_BOUND = 0.8;

    /** Part of its bound below which a tail leaves room for more. */
    private static final double EASY = 0.6;

    private static final int PACE_STEP = 25;
    /** Least time between two raises of the pace; the reported tail lags by half a second. */
    private static final long RAISE_EVERY_MS = 1_500;

    /** A task that has been paced to a stop this long is moved. */
    private static final long MOVE_AFTER_MS = 800;

    private final Orders orders;
    private final Reports reports;

    Sharing(Orders orders, Reports reports) {
        this.orders = orders;
        this.reports = reports;
    }

    void apply(RunnerState runner, RunnerReport report, long nowMs) {
        if (runner.serving == 0 || runner.fillingMillicores == 0) {
            runner.fillPace = TaskState.FULL_PACE;
            return;
        }
        double worst = 0;
        for (RunnerReport.RunningTask row : report.running()) {
            TaskState task = runner.tasks.get(row.task());
            if (task != null && task.step.spec.serving().targetTailMs() > 0) {
                worst = Math.max(
                        worst, (double) row.figure() / task.step.spec.serving().targetTailMs());
            }
        }
        if (worst >= NEAR_BOUND && runner.fillPace > 0) {
            runner.fillPace = 0;
            runner.fillPaceChangedAtMs = nowMs;
        } else if (worst < EASY
                && runner.fillPace < TaskState.FULL_PACE
                && nowMs - runner.fillPaceChangedAtMs >= RAISE_EVERY_MS) {
            runner.fillPace = Math.min(TaskState.FULL_PACE, runner.fillPace + PACE_STEP);
            runner.fillPaceChangedAtMs = nowMs;
        }
        boolean move = runner.fillPace == 0 && nowMs - runner.fillPaceChangedAtMs >= MOVE_AFTER_MS;
        for (TaskState task : new ArrayList<>(runner.tasks.values())) {
            if (!task.step.spec.is(Trait.FILLS) || task.phase != TaskState.Phase.RUNNING || task.stopping) {
                continue;
            }
            if (move && task.step.spec.is(Trait.CHECKPOINTS)) {
                reports.stop(task, DispatchListener.Cause.DISTURBS, nowMs);
                continue;
            }
            if (task.pace != runner.fillPace) {
                task.pace = runner.fillPace;
                int percent = runner.fillPace;
                runner.address().ifPresent(to -> orders.pace(to, task.name, task.run, percent));
            }
        }
    }
}
