package org.pollensill.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.pollensill.job.Trait;
import org.pollensill.runner.RunnerReport;
import org.pollensill.worker.Interference;
import org.pollensill.worker.LoadBand;

/**
 * Restrains tasks that fill where they disturb tasks that serve. Learns per pair of images how near the tail comes to
 * its bound, slows the likeliest disturbers first, lets them work again by steps, and moves those that had to pause.
 */
final class Sharing {

    /** Part of its bound at which a tail counts as disturbed; reports lag by half a second. */
    private static final double DISTURBED = 0.85;

    /** Part of its bound beyond which disturbers pause at once. */
    private static final double BADLY_DISTURBED = 1.1;

    /** Part of its bound below which a tail leaves room for more. */
    private static final double EASY = 0.65;

    /** Pairs whose estimate is within this part of the worst one's are slowed together. */
    private static final double SUSPECTED = 0.8;

    private static final int SLOWER = 50;
    private static final int FASTER = 25;

    /** Least time between two changes of a task's pace; a change shows after half a second. */
    private static final long CHANGE_EVERY_MS = 700;

    /** A task that has paused this long is moved. */
    private static final long MOVE_AFTER_MS = 1_500;

    /** One band: the reported tail already holds the load of the moment. */
    private static final LoadBand BAND = LoadBand.MEDIUM;

    private final Orders orders;
    private final Reports reports;
    private final Interference interference;

    Sharing(Orders orders, Reports reports, Interference interference) {
        this.orders = orders;
        this.reports = reports;
        this.interference = interference;
    }

    /**
     * Returns how near a tail is expected to come to its bound beside a task that fills.
     *
     * @param interference the estimates
     * @param filling the task that fills
     * @param runner the runner
     * @return the largest part of a bound, 0 where nothing serves
     */
    static double expected(Interference interference, TaskState filling, RunnerState runner) {
        double worst = 0;
        for (String image : runner.servingImages.keySet()) {
            worst = Math.max(worst, interference.ratio(image, image(filling), BAND));
        }
        return worst;
    }

    private static String image(TaskState task) {
        return task.step.spec.serving().image().orElse("");
    }

    void apply(RunnerState runner, RunnerReport report, long nowMs) {
        if (runner.serving() == 0 || runner.fillingMillicores == 0) {
            return;
        }
        List<TaskState> filling = filling(runner);
        double worst = 0;
        Optional<TaskState> victim = Optional.empty();
        for (RunnerReport.RunningTask row : report.running()) {
            TaskState task = runner.tasks.get(row.task());
            if (task == null || task.step.spec.serving().targetTailMs() <= 0 || row.figure() <= 0) {
                continue;
            }
            double part = (double) row.figure() / task.step.spec.serving().targetTailMs();
            learn(task, filling, part, nowMs);
            if (part > worst) {
                worst = part;
                victim = Optional.of(task);
            }
        }
        if (worst >= DISTURBED) {
            slow(runner, filling, victim.get(), worst, nowMs);
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

    private void learn(TaskState serving, List<TaskState> filling, double part, long nowMs) {
        for (TaskState task : filling) {
            boolean steady = task.pace == TaskState.FULL_PACE && nowMs - task.paceChangedAtMs >= CHANGE_EVERY_MS;
            if (steady) {
                interference.observe(image(serving), image(task), BAND, part);
            }
        }
    }

    private void slow(RunnerState runner, List<TaskState> filling, TaskState victim, double worst, long nowMs) {
        double highest = 0;
        for (TaskState task : filling) {
            if (task.pace > 0) {
                highest = Math.max(highest, interference.ratio(image(victim), image(task), BAND));
            }
        }
        for (TaskState task : filling) {
            boolean suspected = interference.ratio(image(victim), image(task), BAND) >= SUSPECTED * highest;
            if (task.pace > 0 && suspected && nowMs - task.paceChangedAtMs >= CHANGE_EVERY_MS) {
                setPace(runner, task, worst >= BADLY_DISTURBED ? 0 : Math.max(0, task.pace - SLOWER), nowMs);
            }
        }
    }

    private void release(RunnerState runner, List<TaskState> filling, long nowMs) {
        for (TaskState task : filling) {
            if (task.pace < TaskState.FULL_PACE && nowMs - task.paceChangedAtMs >= CHANGE_EVERY_MS) {
                setPace(runner, task, Math.min(TaskState.FULL_PACE, task.pace + FASTER), nowMs);
            }
        }
    }

    private void setPace(RunnerState runner, TaskState task, int percent, long nowMs) {
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
