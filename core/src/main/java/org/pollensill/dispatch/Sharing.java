package org.pollensill.dispatch;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;

import org.pollensill.job.Trait;
import org.pollensill.runner.RunnerReport;

/**
 * Restrains tasks that fill where they disturb tasks that serve. Learns from the reported tails, sets the paces of the
 * tasks that fill so that the expected slack of each serving task stays above its bound, and moves those that could
 * hardly work.
 */
final class Sharing {

    /**
     * Pressure grows with this power of the used part of the needed processors: tasks have light phases, in which they
     * use two thirds and press a fifth as much.
     */
    private static final int INTENSITY_EXPONENT = 4;

    private static final double LEAST_INTENSITY = 0.05;

    /** Slack above the bound below which paces are lowered: the drift of a load within half a second. */
    private static final double LEAST_MARGIN = 0.2;

    /** Slack above the bound that must be left when paces are raised. */
    private static final double RAISE_MARGIN = 0.35;

    /** Contribution to the pressure that is too small to restrain a task for it. */
    private static final double NEGLIGIBLE = 0.02;

    /** Paces are multiples of this; a smaller one is a pause. */
    private static final int PACE_STEP = 10;

    /** Least raise of a pace that is worth an order. */
    private static final int LEAST_RAISE = 20;

    /** Least time between two raises of a task's pace; a change shows after half a second. */
    private static final long RAISE_EVERY_MS = 500;

    /** A task at this pace or below hardly works. */
    private static final int HARDLY_WORKS = 30;

    /** A task that has hardly worked this long is moved where there is a better place. */
    private static final long MOVE_AFTER_MS = 1_000;

    /** Tails of a younger run still show its start. */
    private static final long SETTLED_AFTER_MS = 1_200;

    /** Time over which reported tails are measured. */
    private static final long TAIL_WINDOW_MS = 500;

    private final Orders orders;
    private final Reports reports;
    private final Disturbance disturbance;
    private final OtherPlaces otherPlaces;

    /** Tells whether a task could run on another runner. */
    @FunctionalInterface
    interface OtherPlaces {
        boolean hasOne(TaskState task, long nowMs);
    }

    /** A serving task and the slack that it would have without tasks that fill. */
    private record Served(String image, double idleSlack) {}

    Sharing(Orders orders, Reports reports, Disturbance disturbance, OtherPlaces otherPlaces) {
        this.orders = orders;
        this.reports = reports;
        this.disturbance = disturbance;
        this.otherPlaces = otherPlaces;
    }

    void apply(RunnerState runner, RunnerReport report, long nowMs) {
        List<TaskState> filling = filling(runner);
        noteIntensities(runner, report, nowMs);
        Map<String, Double> shares = recentShares(runner, filling, nowMs);
        if (runner.serving() == 0) {
            return;
        }
        List<Served> served = new ArrayList<>();
        boolean overBound = false;
        for (RunnerReport.RunningTask row : report.running()) {
            TaskState task = runner.tasks.get(row.task());
            boolean settled = task != null && nowMs - task.startedAtMs >= SETTLED_AFTER_MS;
            if (!settled || !task.serves() || row.figure() <= 0) {
                continue;
            }
            double slack = (double) task.step.spec.serving().targetTailMs() / row.figure();
            String job = task.name.jobId();
            disturbance.observe(task.image(), job, shares, slack, nowMs);
            task.idleSlack = disturbance.idleSlack(task.image(), job, slack, shares);
            task.idleSlackAtMs = nowMs;
            served.add(new Served(task.image(), task.idleSlack));
            overBound |= slack < Disturbance.BOUND;
        }
        runner.headroomChanged();
        if (filling.isEmpty() || served.isEmpty()) {
            return;
        }
        int[] least = paces(runner, filling, served, LEAST_MARGIN, overBound);
        int[] raised = paces(runner, filling, served, RAISE_MARGIN, overBound);
        for (int i = 0; i < least.length; i++) {
            TaskState task = filling.get(i);
            if (task.pace > least[i]) {
                setPace(runner, task, least[i], nowMs);
            } else if (worthRaising(task, raised[i]) && nowMs - task.paceChangedAtMs >= RAISE_EVERY_MS) {
                setPace(runner, task, raised[i], nowMs);
            }
        }
        move(filling, nowMs);
    }

    private static boolean worthRaising(TaskState task, int pace) {
        return pace - task.pace >= LEAST_RAISE || pace == TaskState.FULL_PACE && task.pace < pace;
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

    /** Notes how hard the tasks that fill work at present, judged by the processors that they use. */
    private static void noteIntensities(RunnerState runner, RunnerReport report, long nowMs) {
        for (RunnerReport.RunningTask row : report.running()) {
            TaskState task = runner.tasks.get(row.task());
            if (task == null || !task.step.spec.is(Trait.FILLS) || task.pace == 0 || row.figure() <= 0) {
                continue;
            }
            if (nowMs - Math.max(task.startedAtMs, task.paceChangedAtMs) < TAIL_WINDOW_MS) {
                continue;
            }
            double needed = Math.max(1, task.step.spec.need().processorsMillicores());
            double use = row.figure() / needed * TaskState.FULL_PACE / task.pace;
            task.intensity = Math.max(LEAST_INTENSITY, Math.min(1, Math.pow(use, INTENSITY_EXPONENT)));
        }
    }

    /** Moves the smoothed shares of a runner towards what works there now. */
    private static Map<String, Double> recentShares(RunnerState runner, List<TaskState> filling, long nowMs) {
        double weight = 1 - Math.exp(-(nowMs - runner.sharesAtMs) / (double) TAIL_WINDOW_MS);
        runner.sharesAtMs = nowMs;
        runner.recentShares.replaceAll((image, share) -> share * (1 - weight));
        for (TaskState task : filling) {
            double share = task.pressingShare(runner) * task.pace / TaskState.FULL_PACE;
            runner.recentShares.merge(task.image(), weight * share, Double::sum);
        }
        runner.recentShares.values().removeIf(share -> share < 0.001);
        return runner.recentShares;
    }

    /** Returns the paces that leave each serving task a margin: the largest contributions are lowered first. */
    private int[] paces(
            RunnerState runner, List<TaskState> filling, List<Served> served, double margin, boolean overBound) {
        int count = filling.size();
        double[] pace = new double[count];
        Arrays.fill(pace, 1);
        boolean explained = true;
        for (Served task : served) {
            double[] contribution = new double[count];
            double excess = Disturbance.BOUND + margin - task.idleSlack();
            for (int i = 0; i < count; i++) {
                contribution[i] = disturbance.pressure(
                        task.image(), filling.get(i).image(), filling.get(i).pressingShare(runner));
                excess += contribution[i] * pace[i];
            }
            while (excess > 0) {
                int largest = largest(contribution, pace);
                if (largest < 0) {
                    explained = false;
                    break;
                }
                double part = contribution[largest] * pace[largest];
                double cut = Math.min(part, excess);
                pace[largest] -= cut / contribution[largest];
                excess -= cut;
            }
        }
        int[] percent = new int[count];
        for (int i = 0; i < count; i++) {
            // Where a tail is over its bound for no reason that is known, all that fills rests.
            boolean rests = overBound && !explained;
            percent[i] = rests ? 0 : (int) (pace[i] * TaskState.FULL_PACE / PACE_STEP) * PACE_STEP;
        }
        return percent;
    }

    private static int largest(double[] contribution, double[] pace) {
        int largest = -1;
        double most = NEGLIGIBLE;
        for (int i = 0; i < contribution.length; i++) {
            if (contribution[i] * pace[i] > most) {
                most = contribution[i] * pace[i];
                largest = i;
            }
        }
        return largest;
    }

    private void setPace(RunnerState runner, TaskState task, int percent, long nowMs) {
        if (task.pace == 0) {
            task.progressAtMs = nowMs;
        }
        if (task.pace > HARDLY_WORKS && percent <= HARDLY_WORKS) {
            task.hardlyWorksSinceMs = nowMs;
        }
        task.pace = percent;
        task.paceChangedAtMs = nowMs;
        runner.address().ifPresent(to -> orders.pace(to, task.name, task.run, percent));
    }

    private void move(List<TaskState> filling, long nowMs) {
        for (TaskState task : filling) {
            boolean hardlyWorks = task.pace <= HARDLY_WORKS && nowMs - task.hardlyWorksSinceMs >= MOVE_AFTER_MS;
            if (hardlyWorks && task.step.spec.is(Trait.CHECKPOINTS) && otherPlaces.hasOne(task, nowMs)) {
                task.avoidRunner = task.runner.id;
                reports.stop(task, DispatchListener.Cause.DISTURBS, nowMs);
            }
        }
    }
}
