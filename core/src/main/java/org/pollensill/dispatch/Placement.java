package org.pollensill.dispatch;

import java.util.Collection;
import java.util.Optional;

import org.pollensill.job.PlacementRule;
import org.pollensill.job.StepSpec;
import org.pollensill.job.Trait;
import org.pollensill.runner.RunnerEntry;
import org.pollensill.worker.Interference;
import org.pollensill.worker.Resources;

/**
 * Chooses a runner for a task. Tasks that serve are packed together, tasks that fill go where they are expected to
 * disturb least, others spread over idle processors beside tasks that serve.
 */
final class Placement {

    /** A task that fills starts only where this part of what it needs is idle. */
    private static final double LEAST_IDLE_PART = 0.6;

    /** A tail that is expected to stay below this part of its bound is no reason against a runner. */
    private static final double HARMLESS = 0.5;

    private static final double DISTURBANCE_WEIGHT = 2;

    private static final double RACK_BONUS = 2;
    private static final double AVOID_PENALTY = 5;
    private static final double FAILURE_PENALTY = 1;

    private final Interference interference;

    Placement(Interference interference) {
        this.interference = interference;
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
        if (runner.failures >= RunnerHealth.FAILURES_TO_SET_ASIDE && !runner.tasks.isEmpty()) {
            return false;
        }
        Resources after = runner.counted.plus(spec.counted());
        if (!after.fitsIn(entry.capacity())) {
            return false;
        }
        if (spec.is(Trait.FILLS)
                && runner.idleMillicores() < LEAST_IDLE_PART * spec.need().processorsMillicores()) {
            return false;
        }
        PlacementRule rule = spec.placement();
        if (rule.requiredLabel().isPresent()
                && !entry.labels().contains(rule.requiredLabel().get())) {
            return false;
        }
        return rule.maxPerRunner() == 0 || task.step.heldBy(runner) < rule.maxPerRunner();
    }

    private double score(TaskState task, RunnerState runner, RunnerEntry entry) {
        StepSpec spec = task.step.spec;
        double capacity = Math.max(1, entry.capacity().processorsMillicores());
        double idle = runner.idleMillicores() / capacity;
        double score = -FAILURE_PENALTY * runner.failures;
        if (spec.is(Trait.FILLS)) {
            double expected = Sharing.expected(interference, task, runner);
            score += idle - DISTURBANCE_WEIGHT * Math.max(0, expected - HARMLESS);
        } else if (spec.serving().targetTailMs() > 0) {
            double used = runner.counted.processorsMillicores() / capacity;
            double filling = runner.fillingMillicores / capacity;
            score += used + (runner.serving() > 0 ? 1 : 0) - filling;
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
