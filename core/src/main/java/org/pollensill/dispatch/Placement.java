package org.pollensill.dispatch;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

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

    /** How much the slack that is taken away outweighs idle processors. */
    private static final double DISTURBANCE_WEIGHT = 3;

    /** How much it counts that tasks that serve together are disturbed by the same images. */
    private static final double LIKENESS_WEIGHT = 2;

    /** What each further image takes from the likeness of a runner that serves a task's image already. */
    private static final double OTHER_IMAGE_PENALTY = 0.1;

    /** An empty runner is better than one that serves something unlike. */
    private static final double EMPTY_LIKENESS = 0.5;

    /** A pressure that does not count against a task that fills. */
    private static final double NEGLIGIBLE_PRESSURE = 0.02;

    /** Slack above the bound that a placement must leave: the drift of a load within a second. */
    private static final double PLACEMENT_MARGIN = 0.35;

    /** A task's own measurement that is older than this gives way to that of its job. */
    private static final long MEASUREMENT_VALID_MS = 2_000;

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
            if (!allowed(task, runner, nowMs)) {
                continue;
            }
            RunnerEntry entry = runner.entry.get();
            if (onlyRack.isPresent() && !entry.rack().equals(onlyRack.get())) {
                continue;
            }
            double score = score(task, runner, entry, nowMs);
            if (best == null || score > bestScore) {
                best = runner;
                bestScore = score;
            }
        }
        return Optional.ofNullable(best);
    }

    private boolean allowed(TaskState task, RunnerState runner, long nowMs) {
        StepSpec spec = task.step.spec;
        if (!suits(task, runner, nowMs)) {
            return false;
        }
        Resources after = runner.counted.plus(spec.counted());
        if (!after.fitsIn(runner.capacity())) {
            return false;
        }
        return !spec.is(Trait.FILLS)
                || runner.idleMillicores() >= LEAST_IDLE_PART * spec.need().processorsMillicores()
                        && !disturbs(task, runner, nowMs);
    }

    /** Returns whether a runner could run a task if it had the room. */
    boolean suits(TaskState task, RunnerState runner, long nowMs) {
        // A runner that fails everything is tried with one task at a time.
        if (!runner.accepts(nowMs) || runner.onTrial()) {
            return false;
        }
        if (!matches(task.step, runner)) {
            return false;
        }
        if (task.step.job.advice.isPresent()
                && task.step.tickets.forRunner(runner, nowMs).isEmpty()) {
            return false;
        }
        int most = task.step.spec.placement().maxPerRunner();
        return most == 0 || task.step.heldBy(runner) < most;
    }

    /** Returns whether there is room for at least two tasks like a waiting one, on one runner or on two. */
    boolean hasRoomForTwo(TaskState task, Collection<RunnerState> runners, long nowMs) {
        Resources need = task.step.spec.counted();
        int places = 0;
        for (RunnerState runner : runners) {
            if (!allowed(task, runner, nowMs)) {
                continue;
            }
            int most = task.step.spec.placement().maxPerRunner();
            boolean second = most == 0 || task.step.heldBy(runner) + 1 < most;
            places += second && runner.counted.plus(need).plus(need).fitsIn(runner.capacity()) ? 2 : 1;
            if (places >= 2) {
                return true;
            }
        }
        return false;
    }

    /** Returns whether a listed runner is of the kind that a step needs. */
    static boolean matches(StepState step, RunnerState runner) {
        RunnerEntry entry = runner.entry.get();
        Optional<String> label = step.spec.placement().requiredLabel();
        return entry.service().equals(step.job.service)
                && (label.isEmpty() || entry.labels().contains(label.get()));
    }

    /** Returns whether a task that fills would bring a tail near its bound, with those that fill there already. */
    private boolean disturbs(TaskState task, RunnerState runner, long nowMs) {
        for (Map.Entry<String, Double> served : headroom(runner, nowMs).entrySet()) {
            double pressure = disturbance.cautiousPressure(served.getKey(), task.image(), task.share(runner));
            if (pressure > NEGLIGIBLE_PRESSURE && served.getValue() - pressure < PLACEMENT_MARGIN) {
                return true;
            }
        }
        return false;
    }

    /** Returns the slack above the bound that is left on a runner, by serving image, when all that fills works. */
    private Map<String, Double> headroom(RunnerState runner, long nowMs) {
        if (runner.headroom != null) {
            return runner.headroom;
        }
        Map<String, Double> least = new LinkedHashMap<>();
        for (TaskState task : runner.tasks.values()) {
            if (task.serves()) {
                boolean measured = nowMs - task.idleSlackAtMs < MEASUREMENT_VALID_MS;
                double idleSlack =
                        measured ? task.idleSlack : disturbance.idleSlack(task.image(), task.name.jobId(), nowMs);
                least.merge(task.image(), idleSlack - Disturbance.BOUND, Math::min);
            }
        }
        least.replaceAll((image, left) -> left - pressureOn(runner, image));
        runner.headroom = least;
        return least;
    }

    /** Returns the pressure on an image by all that fills on a runner, at its full pace. */
    private double pressureOn(RunnerState runner, String serving) {
        double pressure = 0;
        for (TaskState task : runner.tasks.values()) {
            if (task.step.spec.is(Trait.FILLS) && !task.stopping) {
                pressure += disturbance.pressure(serving, task.image(), task.pressingShare(runner));
            }
        }
        return pressure;
    }

    /** Returns the largest part of the slack left on a runner that a task that fills would take. */
    private double partOfHeadroom(TaskState task, RunnerState runner, long nowMs) {
        double largest = 0;
        for (Map.Entry<String, Double> served : headroom(runner, nowMs).entrySet()) {
            double pressure = disturbance.cautiousPressure(served.getKey(), task.image(), task.share(runner));
            largest = Math.max(largest, pressure / Math.max(PLACEMENT_MARGIN, served.getValue()));
        }
        return largest;
    }

    /** Returns how well a serving task goes with those on a runner, which would be disturbed by the same images. */
    private double likeness(TaskState task, RunnerState runner) {
        if (runner.serving() == 0) {
            return EMPTY_LIKENESS;
        }
        if (runner.servingImages.containsKey(task.image())) {
            return 1 - OTHER_IMAGE_PENALTY * (runner.serving() - 1);
        }
        double least = 1;
        for (String serving : runner.servingImages.keySet()) {
            least = Math.min(least, disturbance.likeness(serving, task.image()));
        }
        return least;
    }

    private double score(TaskState task, RunnerState runner, RunnerEntry entry, long nowMs) {
        StepSpec spec = task.step.spec;
        double capacity = Math.max(1, entry.capacity().processorsMillicores());
        double idle = runner.idleMillicores() / capacity;
        double score = -FAILURE_PENALTY * runner.failures;
        if (spec.is(Trait.FILLS)) {
            score += idle - DISTURBANCE_WEIGHT * partOfHeadroom(task, runner, nowMs);
        } else if (task.serves()) {
            double used = runner.counted.processorsMillicores() / capacity;
            score += used
                    + LIKENESS_WEIGHT * likeness(task, runner)
                    - DISTURBANCE_WEIGHT * pressureOn(runner, task.image());
        } else {
            // The smallest room that suffices, so that larger ones stay for larger tasks.
            score += runner.counted.processorsMillicores() / capacity + (runner.serving() > 0 ? 1 : 0);
        }
        if (spec.placement().dataRack().isPresent()
                && spec.placement().dataRack().get().equals(entry.rack())) {
            score += RACK_BONUS;
        }
        return score - (runner.id.equals(task.avoidRunner) ? AVOID_PENALTY : 0);
    }
}
