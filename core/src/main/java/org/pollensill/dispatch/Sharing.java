package org.pollensill.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.pollensill.job.Trait;
import org.pollensill.runner.RunnerReport;

/**
 * Restrains tasks that fill where they disturb tasks that serve. Learns from the reported tails which image disturbs
 * which, pauses the likeliest disturbers first, lets them work again by steps, and moves those that had to pause.
 */
final class Sharing {

    /** Part of its bound at which a tail counts as disturbed. */
    private static final double DISTURBED = 1.0;

    /** Part of its bound below which a tail leaves room for more. */
    private static final double EASY = 0.6;

    /** Disturbers of at least this part of the largest contribution pause together. */
    private static final double SUSPECTED = 0.3;

    /** Raise of a tail that is too small to tell who caused it. */
    private static final double UNEXPLAINED = 0.05;

    private static final int FASTER = 50;

    /** Least time between two changes of a task's pace; a change shows after half a second. */
    private static final long CHANGE_EVERY_MS = 700;

    /** A task that has paused this long is moved. */
    private static final long MOVE_AFTER_MS = 1_000;

    /** Time over which reported tails are measured. */
    private static final double TAIL_WINDOW_MS = 500;

    private final Orders orders;
    private final Reports reports;
    private final Disturbance disturbance;

    Sharing(Orders orders, Reports reports, Disturbance disturbance) {
        this.orders = orders;
        this.reports = reports;
        this.disturbance = disturbance;
    }

    void apply(RunnerState runner, RunnerReport report, long nowMs) {
        List<TaskState> filling = filling(runner);
        Map<String, Double> shares = recentShares(runner, filling, nowMs);
        if (runner.serving() == 0) {
            return;
        }
        double worst = 0;
        Optional<TaskState> victim = Optional.empty();
        for (RunnerReport.RunningTask row : report.running()) {
            TaskState task = runner.tasks.get(row.task());
            if (task == null || task.step.spec.serving().targetTailMs() <= 0 || row.figure() <= 0) {
                continue;
            }
            double part = (double) row.figure() / task.step.spec.serving().targetTailMs();
            disturbance.observe(task.image(), shares, part);
            if (part > worst) {
                worst = part;
                victim = Optional.of(task);
            }
        }
        if (worst >= DISTURBED) {
            pause(runner, filling, victim.get(), nowMs);
        } else if (worst < EASY) {
            release(runner, filling, nowMs);
        }
        move(filling, nowMs);
    }

    private static List<TaskState> filling(RunnerState runner) {
        List<TaskState> filling = new ArrayList<>();
        for (TaskState task : runner.tasks.values()) {
            if (task.step.spec.is(Trait.FILLS) && task.phase == TaskState.Phase.RUNNING && !task.stopping) {
                filling.add(task);
            }
        }
        return filling;
    }

    /** Moves the smoothed shares of a runner towards what works there now. */
    private static Map<String, Double> recentShares(RunnerState runner, List<TaskState> filling, long nowMs) {
        double weight = 1 - Math.exp(-(nowMs - runner.sharesAtMs) / TAIL_WINDOW_MS);
        runner.sharesAtMs = nowMs;
        runner.recentShares.replaceAll((image, share) -> share * (1 - weight));
        for (TaskState task : filling) {
            double share = task.share(runner) * task.pace / TaskState.FULL_PACE;
            runner.recentShares.merge(task.image(), weight * share, Double::sum);
        }
        runner.recentShares.values().removeIf(share -> share < 0.001);
        return runner.recentShares;
    }

    private void pause(RunnerState runner, List<TaskState> filling, TaskState victim, long nowMs) {
        double largest = 0;
        for (TaskState task : filling) {
            if (task.pace > 0) {
                largest = Math.max(largest, contribution(runner, task, victim));
            }
        }
        for (TaskState task : filling) {
            boolean suspected = largest < UNEXPLAINED || contribution(runner, task, victim) >= SUSPECTED * largest;
            if (task.pace > 0 && suspected) {
                setPace(runner, task, 0, nowMs);
            }
        }
    }

    private double contribution(RunnerState runner, TaskState filling, TaskState victim) {
        return disturbance.raise(victim.image(), filling.image(), filling.share(runner));
    }

    private void release(RunnerState runner, List<TaskState> filling, long nowMs) {
        for (TaskState task : filling) {
            if (task.pace < TaskState.FULL_PACE && nowMs - task.paceChangedAtMs >= CHANGE_EVERY_MS) {
                setPace(runner, task, Math.min(TaskState.FULL_PACE, task.pace + FASTER), nowMs);
            }
        }
    }

    private void setPace(RunnerState runner, TaskState task, int percent, long nowMs) {
        if (task.pace == 0) {
            task.progressAtMs = nowMs;
        }
        task.pace = percent;
        task.paceChangedAtMs = nowMs;
        runner.address().ifPresent(to -> orders.pace(to, task.name, task.run, percent));
    }

    private void move(List<TaskState> filling, long nowMs) {
        for (TaskState task : filling) {
            boolean paused = task.pace == 0 && nowMs - task.paceChangedAtMs >= MOVE_AFTER_MS;
            if (paused && task.step.spec.is(Trait.CHECKPOINTS)) {
                task.avoidRunner = task.runner.id;
                reports.stop(task, DispatchListener.Cause.DISTURBS, nowMs);
            }
        }
    }
}
