package org.pollensill.dispatch;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;

import org.pollensill.job.Trait;
import org.pollensill.runner.RunnerReport;

/**
 * Throttles best-effort tasks that interfere with latency-critical tasks on the same runner. Updates the interference
 * model from the reported tail latencies, sets the paces of the best-effort tasks so that the expected slack of each
 * latency-critical task stays above its target, and moves starved tasks to other runners. A pace is the percentage of
 * its processors at which a task may run.
 */
final class InterferenceController {

    /**
     * Slack loss grows with this power of the used fraction of the needed processors: in their light phases tasks use
     * two thirds of the processors and cause a fifth of the slack loss.
     */
    private static final int INTENSITY_EXPONENT = 4;

    private static final double MIN_INTENSITY = 0.05;

    /** Slack above the target below which paces are lowered: the change of a load within half a second. */
    private static final double LOWER_MARGIN = 0.2;

    /** Slack above the target that must remain when paces are raised. */
    private static final double RAISE_MARGIN = 0.35;

    /** Contribution to the slack loss up to which a task is not throttled. */
    private static final double NEGLIGIBLE_SLACK_LOSS = 0.02;

    /** Paces are rounded down to multiples of this; a pace of 0 is a pause. */
    private static final int PACE_STEP_PERCENT = 10;

    /** Minimum raise of a pace for which an order is sent, except for a raise to full pace. */
    private static final int MIN_RAISE_PERCENT = 20;

    /** Minimum time between a change and a raise of a task's pace; tails reflect a change after half a second. */
    private static final long MIN_RAISE_INTERVAL_MS = 500;

    /** Maximum pace of a task that counts as starved. */
    private static final int STARVED_PACE_PERCENT = 30;

    /** Time for which a task is starved before it is moved, if another runner suits it better. */
    private static final long EVICTION_DELAY_MS = 1_000;

    /** Minimum age of a run whose tail latency is used; that of a younger run still reflects its start. */
    private static final long WARM_UP_MS = 1_200;

    /** Window over which runners measure the reported tail latencies. */
    private static final long TAIL_WINDOW_MS = 500;

    private final Orders orders;
    private final ReportHandler reportHandler;
    private final InterferenceModel interferenceModel;
    private final AlternativeRunners alternatives;
    private final StepAvailability availability;

    /** Finds out whether a task could run on another runner. */
    @FunctionalInterface
    interface AlternativeRunners {
        boolean existFor(TaskState task, long nowMs);
    }

    /** A latency-critical task's image and the slack that it would have without best-effort tasks. */
    private record MeasuredTask(String image, double idleSlack) {}

    InterferenceController(
            Orders orders,
            ReportHandler reportHandler,
            InterferenceModel interferenceModel,
            AlternativeRunners alternatives,
            StepAvailability availability) {
        this.orders = orders;
        this.reportHandler = reportHandler;
        this.interferenceModel = interferenceModel;
        this.alternatives = alternatives;
        this.availability = availability;
    }

    void apply(RunnerState runner, RunnerReport report, long nowMs) {
        List<TaskState> bestEffort = bestEffortTasks(runner);
        updateIntensities(runner, report, nowMs);
        Map<String, Double> shares = updateRecentShares(runner, bestEffort, nowMs);
        if (runner.latencyCriticalImageCount() == 0) {
            restoreFullPace(runner, bestEffort, nowMs);
            return;
        }
        List<MeasuredTask> measured = new ArrayList<>();
        boolean targetMissed = false;
        for (RunnerReport.RunningTask row : report.running()) {
            TaskState task = runner.tasks.get(row.task());
            boolean warmedUp = task != null && nowMs - task.startedAtMs >= WARM_UP_MS;
            if (!warmedUp || !task.isLatencyCritical() || row.measurement() <= 0) {
                continue;
            }
            double slack = (double) task.step.spec.serviceLevel().tailLatencyTargetMs() / row.measurement();
            String jobId = task.name.jobId();
            interferenceModel.observe(task.image(), jobId, shares, slack, nowMs);
            task.idleSlack = interferenceModel.idleSlack(task.image(), jobId, slack, shares);
            task.idleSlackAtMs = nowMs;
            measured.add(new MeasuredTask(task.image(), task.idleSlack));
            targetMissed |= slack < InterferenceModel.SLACK_AT_TARGET;
        }
        runner.headroomChanged();
        if (bestEffort.isEmpty() || measured.isEmpty()) {
            return;
        }
        int[] lowered = computePaces(runner, bestEffort, measured, LOWER_MARGIN, targetMissed);
        int[] raised = computePaces(runner, bestEffort, measured, RAISE_MARGIN, targetMissed);
        for (int i = 0; i < lowered.length; i++) {
            TaskState task = bestEffort.get(i);
            if (task.pace > lowered[i] || task.paceUnknown) {
                setPace(runner, task, lowered[i], nowMs);
            } else if (isWorthRaising(task, raised[i]) && nowMs - task.paceChangedAtMs >= MIN_RAISE_INTERVAL_MS) {
                setPace(runner, task, raised[i], nowMs);
            }
        }
        evictStarved(bestEffort, nowMs);
    }

    /** Raises the paces on a runner that no latency-critical task shares any more. */
    private void restoreFullPace(RunnerState runner, List<TaskState> bestEffort, long nowMs) {
        for (TaskState task : bestEffort) {
            if (task.pace < TaskState.FULL_PACE || task.paceUnknown) {
                setPace(runner, task, TaskState.FULL_PACE, nowMs);
            }
        }
    }

    private static boolean isWorthRaising(TaskState task, int pace) {
        return pace - task.pace >= MIN_RAISE_PERCENT || pace == TaskState.FULL_PACE && task.pace < pace;
    }

    private static List<TaskState> bestEffortTasks(RunnerState runner) {
        List<TaskState> bestEffort = new ArrayList<>();
        for (TaskState task : runner.tasks.values()) {
            if (task.step.spec.hasTrait(Trait.FILLS) && task.phase == TaskState.Phase.RUNNING && !task.stopping) {
                bestEffort.add(task);
            }
        }
        return bestEffort;
    }

    /** Updates the intensities of the best-effort tasks from the processors that they use. */
    private static void updateIntensities(RunnerState runner, RunnerReport report, long nowMs) {
        for (RunnerReport.RunningTask row : report.running()) {
            TaskState task = runner.tasks.get(row.task());
            if (task == null || !task.step.spec.hasTrait(Trait.FILLS) || task.pace == 0 || row.measurement() <= 0) {
                continue;
            }
            if (nowMs - Math.max(task.startedAtMs, task.paceChangedAtMs) < TAIL_WINDOW_MS) {
                continue;
            }
            double neededMillicores = Math.max(1, task.step.spec.need().processorsMillicores());
            double usedFraction = row.measurement() / neededMillicores * TaskState.FULL_PACE / task.pace;
            task.intensity = Math.max(MIN_INTENSITY, Math.min(1, Math.pow(usedFraction, INTENSITY_EXPONENT)));
        }
    }

    /** Updates the exponentially smoothed processor shares of the best-effort images on a runner. */
    private static Map<String, Double> updateRecentShares(RunnerState runner, List<TaskState> bestEffort, long nowMs) {
        double weight = 1 - Math.exp(-(nowMs - runner.sharesUpdatedAtMs) / (double) TAIL_WINDOW_MS);
        runner.sharesUpdatedAtMs = nowMs;
        runner.recentShares.replaceAll((image, share) -> share * (1 - weight));
        for (TaskState task : bestEffort) {
            double share = task.effectiveShare(runner) * task.pace / TaskState.FULL_PACE;
            runner.recentShares.merge(task.image(), weight * share, Double::sum);
        }
        runner.recentShares.values().removeIf(share -> share < 0.001);
        return runner.recentShares;
    }

    /**
     * Returns the paces in percent that leave each latency-critical task a margin. The largest contributions to the
     * slack loss are lowered first.
     */
    private int[] computePaces(
            RunnerState runner,
            List<TaskState> bestEffort,
            List<MeasuredTask> measured,
            double margin,
            boolean targetMissed) {
        int count = bestEffort.size();
        double[] paceFraction = new double[count];
        Arrays.fill(paceFraction, 1);
        boolean withinMargin = true;
        for (MeasuredTask task : measured) {
            double[] contribution = new double[count];
            double excess = InterferenceModel.SLACK_AT_TARGET + margin - task.idleSlack();
            for (int i = 0; i < count; i++) {
                contribution[i] = interferenceModel.slackLoss(
                        task.image(),
                        bestEffort.get(i).image(),
                        bestEffort.get(i).effectiveShare(runner));
                excess += contribution[i] * paceFraction[i];
            }
            while (excess > 0) {
                int largest = largest(contribution, paceFraction);
                if (largest < 0) {
                    withinMargin = false;
                    break;
                }
                double currentLoss = contribution[largest] * paceFraction[largest];
                double reduction = Math.min(currentLoss, excess);
                paceFraction[largest] -= reduction / contribution[largest];
                excess -= reduction;
            }
        }
        int[] percent = new int[count];
        for (int i = 0; i < count; i++) {
            // If a target is missed and no known contribution explains it, all best-effort tasks are paused.
            boolean paused = targetMissed && !withinMargin;
            percent[i] =
                    paused ? 0 : (int) (paceFraction[i] * TaskState.FULL_PACE / PACE_STEP_PERCENT) * PACE_STEP_PERCENT;
        }
        return percent;
    }

    private static int largest(double[] contribution, double[] paceFraction) {
        int largest = -1;
        double highest = NEGLIGIBLE_SLACK_LOSS;
        for (int i = 0; i < contribution.length; i++) {
            if (contribution[i] * paceFraction[i] > highest) {
                highest = contribution[i] * paceFraction[i];
                largest = i;
            }
        }
        return largest;
    }

    private void setPace(RunnerState runner, TaskState task, int percent, long nowMs) {
        if (task.pace == 0 || task.paceUnknown) {
            task.resuming = true;
            task.progressAtMs = nowMs;
        }
        if (task.pace > STARVED_PACE_PERCENT && percent <= STARVED_PACE_PERCENT) {
            task.starvedSinceMs = nowMs;
        }
        task.pace = percent;
        task.paceUnknown = false;
        task.paceConfirmed = false;
        task.paceChangedAtMs = nowMs;
        runner.address().ifPresent(to -> orders.throttle(to, task.name, task.run, percent));
    }

    private boolean mayMove(TaskState task, long nowMs) {
        boolean tolerated =
                !task.step.spec.hasTrait(Trait.RESTART_ALWAYS) || availability.tolerableStops(task.step, nowMs) > 0;
        return task.step.spec.hasTrait(Trait.CHECKPOINTS) && tolerated;
    }

    private void evictStarved(List<TaskState> bestEffort, long nowMs) {
        for (TaskState task : bestEffort) {
            boolean starved = task.pace <= STARVED_PACE_PERCENT && nowMs - task.starvedSinceMs >= EVICTION_DELAY_MS;
            if (starved && mayMove(task, nowMs) && alternatives.existFor(task, nowMs)) {
                task.avoidRunner = task.runner.id;
                reportHandler.stop(task, DispatchListener.Cause.DISTURBS, nowMs);
            }
        }
    }
}
