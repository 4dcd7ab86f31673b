package org.pollensill.dispatch;

import java.util.Collection;
import java.util.Map;
import java.util.Optional;

import org.pollensill.job.PlacementRule;
import org.pollensill.job.StepSpec;
import org.pollensill.job.Trait;
import org.pollensill.runner.RunnerEntry;
import org.pollensill.worker.Resources;

/**
 * Chooses a runner for a task. Tasks that serve are packed together, tasks that fill go where they are expected to
 * disturb least, others spread over idle processors beside tasks that serve.
 */
final class Placement {

    /** A task that fills starts only where this part of what it needs is idle. */
    private static final double LEAST_IDLE_PART = 0.6;

    /** How much a raised tail outweighs idle processors. */
    private static final double DISTURBANCE_WEIGHT = 3;

    /** How much it counts that tasks that serve together are disturbed by the same images. */
    private static final double LIKENESS_WEIGHT = 2;

    /** An empty runner is better than one that serves something unlike. */
    private static final double EMPTY_LIKENESS = 0.5;

    /** A raise that does not count against a task that fills. */
    private static final double NEGLIGIBLE_RAISE = 0.02;

    private static final double RACK_BONUS = 2;
    private static final double AVOID_PENALTY = 5;
    private static final double FAILURE_PENALTY = 1;

    private final Disturbance disturbance;

    Placement(Disturbance disturbance) {
        this.disturbance = disturbance;
    }

    Optional<RunnerState> choose(
            TaskState task, Collection<RunnerState> runners, Optional<String> onlyRack, long nowMs) {
        RunnerState best = null;
        double bestScore = 0;
        for (RunnerState runner : runners) {
            if (!runner.accepts(nowMs) || !allowed(task, runner)) {
                continue;
            }
            RunnerEntry entry = runner.entry.get();
            if (onlyRack.isPresent() && !entry.rack().equals(onlyRack.get())) {
                continue;
            }
            double score = score(task, runner, entry);
            if (best == null || score > bestScore) {
                best = runner;
                bestScore = score;
            }
        }
        return Optional.ofNullable(best);
    }

    private boolean allowed(TaskState task, RunnerState runner) {
        StepSpec spec = task.step.spec;
        RunnerEntry entry = runner.entry.get();
        if (!entry.service().equals(task.step.job.service)) {
            return false;
        }
        // A runner that fails everything is tried with one task at a time.
        if (runner.onTrial()) {
            return false;
        }
        Resources after = runner.counted.plus(spec.counted());
        if (!after.fitsIn(entry.capacity())) {
            return false;
        }
        if (spec.is(Trait.FILLS)
                && (runner.idleMillicores() < LEAST_IDLE_PART * spec.need().processorsMillicores()
                        || disturbs(task, runner))) {
            return false;
        }
        PlacementRule rule = spec.placement();
        if (rule.requiredLabel().isPresent()
                && !entry.labels().contains(rule.requiredLabel().get())) {
            return false;
        }
        return rule.maxPerRunner() == 0 || task.step.heldBy(runner) < rule.maxPerRunner();
    }

    /** Returns whether a task that fills would bring a tail near its bound, with those that fill there already. */
    private boolean disturbs(TaskState task, RunnerState runner) {
        for (String serving : runner.servingImages.keySet()) {
            double raise = disturbance.raise(serving, task.image(), task.share(runner));
            if (raise < NEGLIGIBLE_RAISE) {
                continue;
            }
            double capacity = Math.max(1, runner.capacity().processorsMillicores());
            for (Map.Entry<String, Long> filling : runner.fillingImages.entrySet()) {
                raise += disturbance.raise(serving, filling.getKey(), filling.getValue() / capacity);
            }
            if (raise > Disturbance.MOST_RAISE) {
                return true;
            }
        }
        return false;
    }

    private double raise(TaskState task, RunnerState runner) {
        double worst = 0;
        for (String serving : runner.servingImages.keySet()) {
            worst = Math.max(worst, disturbance.raise(serving, task.image(), task.share(runner)));
        }
        return worst;
    }

    /** Returns how much the tasks that fill on a runner would raise the tail of a task that serves. */
    private double raiseBy(RunnerState runner, TaskState serving) {
        double capacity = Math.max(1, runner.capacity().processorsMillicores());
        double raise = 0;
        for (Map.Entry<String, Long> filling : runner.fillingImages.entrySet()) {
            raise += disturbance.raise(serving.image(), filling.getKey(), filling.getValue() / capacity);
        }
        return raise;
    }

    /** Returns how alike a serving task and those on a runner are, judged by the least alike one. */
    private double likeness(TaskState task, RunnerState runner) {
        double least = runner.serving() > 0 ? 1 : EMPTY_LIKENESS;
        for (String serving : runner.servingImages.keySet()) {
            least = Math.min(least, disturbance.likeness(serving, task.image()));
        }
        return least;
    }

    private double score(TaskState task, RunnerState runner, RunnerEntry entry) {
        StepSpec spec = task.step.spec;
        double capacity = Math.max(1, entry.capacity().processorsMillicores());
        double idle = runner.idleMillicores() / capacity;
        double score = -FAILURE_PENALTY * runner.failures;
        if (spec.is(Trait.FILLS)) {
            score += idle - DISTURBANCE_WEIGHT * raise(task, runner);
        } else if (spec.serving().targetTailMs() > 0) {
            double used = runner.counted.processorsMillicores() / capacity;
            score += used + LIKENESS_WEIGHT * likeness(task, runner) - DISTURBANCE_WEIGHT * raiseBy(runner, task);
        } else {
            score += idle + (runner.serving() > 0 ? 1 : 0);
        }
        if (spec.placement().dataRack().isPresent()
                && spec.placement().dataRack().get().equals(entry.rack())) {
            score += RACK_BONUS;
        }
        return score - (runner.id.equals(task.avoidRunner) ? AVOID_PENALTY : 0);
    }
}
