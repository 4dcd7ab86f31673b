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
 * Chooses a runner for a task. Latency-critical tasks are packed together, best-effort tasks are placed where the
 * expected interference is lowest, and other tasks use idle processors of runners with latency-critical tasks.
 */
final class RunnerSelector {

    /** Minimum idle fraction of the processors that a best-effort task needs. */
    private static final double MIN_IDLE_FRACTION = 0.6;

    /** Weight of lost slack in the score, relative to idle processors. */
    private static final double INTERFERENCE_WEIGHT = 3;

    /** Weight in the score of the similarity of the latency-critical images on a runner. */
    private static final double SIMILARITY_WEIGHT = 2;

    /** Reduces the similarity for each other latency-critical image on a runner that already runs the task's image. */
    private static final double OTHER_IMAGE_PENALTY = 0.1;

    /** Similarity of a runner without latency-critical tasks; it is preferred to one with dissimilar images. */
    private static final double EMPTY_RUNNER_SIMILARITY = 0.5;

    /** Slack loss up to which a best-effort task is placed regardless of the headroom. */
    private static final double NEGLIGIBLE_SLACK_LOSS = 0.02;

    /** Minimum slack above the target that a placement must leave, since loads change by that much within a second. */
    private static final double MIN_HEADROOM = 0.35;

    /** Maximum age of a task's own measurement; the estimate of its job replaces an older one. */
    private static final long MEASUREMENT_VALID_MS = 2_000;

    /** Multiple of its estimate within which a task surely ends; estimates are off by half. */
    private static final double ESTIMATE_MARGIN = 2;

    private static final double DATA_RACK_BONUS = 2;
    private static final double AVOIDED_RUNNER_PENALTY = 5;
    private static final double FAILURE_PENALTY = 1;

    /** Applies to a runner that is slow after its start for the time of a usual task or longer; less to others. */
    private static final double COLD_PENALTY = 2;

    private static final double COLD_REFERENCE_MS = 2_000;

    private final InterferenceModel interferenceModel;

    RunnerSelector(InterferenceModel interferenceModel) {
        this.interferenceModel = interferenceModel;
    }

    Optional<RunnerState> choose(
            TaskState task, Collection<RunnerState> runners, Optional<String> requiredRack, long nowMs) {
        long neededMillicores = task.step.spec.reservedResources().processorsMillicores();
        RunnerState best = null;
        double bestScore = 0;
        for (RunnerState runner : runners) {
            // On a full fleet this excludes nearly all runners at a fraction of the cost of the other checks.
            if (neededMillicores > runner.freeMillicores()) {
                continue;
            }
            if (!isFeasible(task, runner, nowMs)) {
                continue;
            }
            RunnerEntry entry = runner.entry.get();
            if (requiredRack.isPresent() && !entry.rack().equals(requiredRack.get())) {
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

    private boolean isFeasible(TaskState task, RunnerState runner, long nowMs) {
        return obstacle(task, runner, nowMs).isEmpty();
    }

    /** Returns the first reason for which a runner cannot take a task now, empty where it can. */
    Optional<PlacementObstacle> obstacle(TaskState task, RunnerState runner, long nowMs) {
        Optional<PlacementObstacle> exclusion = exclusion(task, runner, nowMs);
        if (exclusion.isPresent()) {
            return exclusion;
        }
        StepSpec spec = task.step.spec;
        Resources countedAfter = runner.reservedResources.plus(spec.reservedResources());
        if (!countedAfter.fitsIn(runner.capacity())) {
            return shortage(countedAfter, runner.capacity()).found();
        }
        if (usesWithheldCapacity(task, runner, countedAfter, nowMs)) {
            return PlacementObstacle.RESERVED.found();
        }
        if (!spec.hasTrait(Trait.FILLS)) {
            return Optional.empty();
        }
        boolean idle =
                runner.idleMillicores() >= MIN_IDLE_FRACTION * spec.need().processorsMillicores();
        return idle && !exceedsHeadroom(task, runner, nowMs) ? Optional.empty() : PlacementObstacle.HEADROOM.found();
    }

    /**
     * Returns the same for an explanation. The cached headroom depends on when it is computed, so one that is computed
     * here must not reach placement.
     */
    Optional<PlacementObstacle> obstacleUncached(TaskState task, RunnerState runner, long nowMs) {
        Map<String, Double> cachedHeadroom = runner.headroom;
        Optional<PlacementObstacle> obstacle = obstacle(task, runner, nowMs);
        runner.headroom = cachedHeadroom;
        return obstacle;
    }

    /** Returns whether a task would use capacity that is reserved or claimed for another one. */
    private static boolean usesWithheldCapacity(
            TaskState task, RunnerState runner, Resources countedAfter, long nowMs) {
        Resources withheld = withheldFrom(task, runner, nowMs);
        if (withheld.equals(Resources.NONE)) {
            return false;
        }
        Resources need = task.step.spec.reservedResources();
        Resources withWithheld = countedAfter.plus(withheld);
        Resources capacity = runner.capacity();
        return need.processorsMillicores() > 0 && withWithheld.processorsMillicores() > capacity.processorsMillicores()
                || need.memoryBytes() > 0 && withWithheld.memoryBytes() > capacity.memoryBytes()
                || need.accelerators() > 0 && withWithheld.accelerators() > capacity.accelerators();
    }

    /** Returns the capacity of a runner that is withheld for other tasks than the given one. */
    private static Resources withheldFrom(TaskState task, RunnerState runner, long nowMs) {
        Resources withheld = runner.claimedResources;
        if (task.claimedRunner == runner) {
            withheld = withheld.minus(task.step.spec.reservedResources());
        }
        boolean free = runner.reservedFor == null || runner.reservedFor == task || endsInTime(task, runner, nowMs);
        return free ? withheld : withheld.plus(runner.reservedFor.step.spec.reservedResources());
    }

    /** Returns whether a task surely ends before the one for which the runner is reserved is expected to fit. */
    private static boolean endsInTime(TaskState task, RunnerState runner, long nowMs) {
        return task.step.runsToCompletion()
                && ESTIMATE_MARGIN * task.step.spec.estimateMs() <= runner.reservedFromMs - nowMs;
    }

    /** Returns the first resource of an amount that exceeds a capacity in which it does not fit. */
    private static PlacementObstacle shortage(Resources amount, Resources capacity) {
        if (amount.processorsMillicores() > capacity.processorsMillicores()) {
            return PlacementObstacle.PROCESSORS;
        }
        return amount.memoryBytes() > capacity.memoryBytes()
                ? PlacementObstacle.MEMORY
                : PlacementObstacle.ACCELERATORS;
    }

    /** Returns whether a runner may run a task, regardless of its free capacity. */
    boolean isEligible(TaskState task, RunnerState runner, long nowMs) {
        return exclusion(task, runner, nowMs).isEmpty();
    }

    /** Returns why a runner may not run a task, regardless of its free capacity. */
    private static Optional<PlacementObstacle> exclusion(TaskState task, RunnerState runner, long nowMs) {
        Optional<PlacementObstacle> unusable = runner.obstacle(nowMs);
        if (unusable.isPresent()) {
            return unusable;
        }
        if (runner.isProbing(nowMs)) {
            return PlacementObstacle.QUARANTINED.found();
        }
        if (!matches(task.step, runner)) {
            return PlacementObstacle.NO_MATCH.found();
        }
        if (task.step.job.advice().isPresent()
                && task.step.tickets.forRunner(runner, nowMs).isEmpty()) {
            return PlacementObstacle.NO_TICKET.found();
        }
        int maxPerRunner = task.step.spec.placement().maxPerRunner();
        return maxPerRunner == 0 || task.step.countOn(runner) < maxPerRunner
                ? Optional.empty()
                : PlacementObstacle.PER_RUNNER_LIMIT.found();
    }

    /** Returns whether at least two tasks with the needs of a waiting one fit, on the same runner or on two. */
    boolean hasCapacityForTwo(TaskState task, Collection<RunnerState> runners, long nowMs) {
        Resources need = task.step.spec.reservedResources();
        int slots = 0;
        for (RunnerState runner : runners) {
            if (!isFeasible(task, runner, nowMs)) {
                continue;
            }
            int maxPerRunner = task.step.spec.placement().maxPerRunner();
            boolean secondFits = maxPerRunner == 0 || task.step.countOn(runner) + 1 < maxPerRunner;
            slots += secondFits
                            && runner.reservedResources
                                    .plus(runner.claimedResources)
                                    .plus(need)
                                    .plus(need)
                                    .fitsIn(runner.capacity())
                    ? 2
                    : 1;
            if (slots >= 2) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns how many waiting tasks of a step a runner that {@linkplain #matches matches} could take now, apart from
     * tickets and from the slack of latency-critical tasks.
     *
     * @param step the step
     * @param runner the runner
     * @param present number of tasks of the step on the runner
     * @param nowMs the time
     * @return the number, at most that of all tasks of the step
     */
    static int taskCapacity(StepState step, RunnerState runner, int present, long nowMs) {
        Resources need = step.spec.reservedResources();
        boolean fits = runner.reservedResources.plus(need).fitsIn(runner.capacity());
        if (!fits || !runner.accepts(nowMs) || runner.isProbing(nowMs)) {
            return 0;
        }
        Resources taken = runner.reservedResources.plus(runner.claimedResources);
        if (runner.reservedFor != null && runner.reservedFor.step != step) {
            taken = taken.plus(runner.reservedFor.step.spec.reservedResources());
        }
        long count = Math.min(step.tasks.size(), need.fitCount(runner.capacity().minus(taken)));
        int maxPerRunner = step.spec.placement().maxPerRunner();
        if (maxPerRunner > 0) {
            count = Math.min(count, Math.max(0, maxPerRunner - present));
        }
        if (step.spec.hasTrait(Trait.FILLS)) {
            count = Math.min(count, bestEffortCapacity(step, runner));
        }
        return (int) (runner.isOnProbation() ? Math.min(1, count) : count);
    }

    /** Returns how many best-effort tasks of a step find enough idle processors on a runner, one after the other. */
    private static long bestEffortCapacity(StepState step, RunnerState runner) {
        long needMillicores = step.spec.need().processorsMillicores();
        double spareMillicores = runner.idleMillicores() - MIN_IDLE_FRACTION * needMillicores;
        if (spareMillicores < 0) {
            return 0;
        }
        return needMillicores == 0 ? step.tasks.size() : 1 + (long) (spareMillicores / needMillicores);
    }

    /** Returns whether a listed runner has the service and the label that a step requires. */
    static boolean matches(StepState step, RunnerState runner) {
        RunnerEntry entry = runner.entry.get();
        Optional<String> label = step.spec.placement().requiredLabel();
        return entry.service().equals(step.job.service)
                && (label.isEmpty() || entry.labels().contains(label.get()));
    }

    /**
     * Returns whether a best-effort task, with those already on the runner, would bring a tail latency close to its
     * target.
     */
    private boolean exceedsHeadroom(TaskState task, RunnerState runner, long nowMs) {
        for (Map.Entry<String, Double> available : headroom(runner, nowMs).entrySet()) {
            double slackLoss =
                    interferenceModel.conservativeSlackLoss(available.getKey(), task.image(), task.share(runner));
            if (slackLoss > NEGLIGIBLE_SLACK_LOSS && available.getValue() - slackLoss < MIN_HEADROOM) {
                return true;
            }
        }
        return false;
    }

    /** Returns the slack above the target by latency-critical image while all best-effort tasks run at full pace. */
    private Map<String, Double> headroom(RunnerState runner, long nowMs) {
        if (runner.headroom != null) {
            return runner.headroom;
        }
        Map<String, Double> lowest = new LinkedHashMap<>();
        for (TaskState task : runner.tasks.values()) {
            if (task.isLatencyCritical()) {
                boolean measured = nowMs - task.idleSlackAtMs < MEASUREMENT_VALID_MS;
                double idleSlack =
                        measured ? task.idleSlack : interferenceModel.idleSlack(task.image(), task.name.jobId(), nowMs);
                lowest.merge(task.image(), idleSlack - InterferenceModel.SLACK_AT_TARGET, Math::min);
            }
        }
        lowest.replaceAll((image, slack) -> slack - slackLossOn(runner, image));
        runner.headroom = lowest;
        return lowest;
    }

    /** Returns the slack that an image loses to all best-effort tasks of a runner at full pace. */
    private double slackLossOn(RunnerState runner, String criticalImage) {
        double slackLoss = 0;
        for (TaskState task : runner.tasks.values()) {
            if (task.step.spec.hasTrait(Trait.FILLS) && !task.stopping) {
                slackLoss += interferenceModel.slackLoss(criticalImage, task.image(), task.effectiveShare(runner));
            }
        }
        return slackLoss;
    }

    /** Returns the largest fraction of a latency-critical image's headroom that a best-effort task would use. */
    private double headroomFraction(TaskState task, RunnerState runner, long nowMs) {
        double largest = 0;
        for (Map.Entry<String, Double> available : headroom(runner, nowMs).entrySet()) {
            double slackLoss =
                    interferenceModel.conservativeSlackLoss(available.getKey(), task.image(), task.share(runner));
            largest = Math.max(largest, slackLoss / Math.max(MIN_HEADROOM, available.getValue()));
        }
        return largest;
    }

    /** Returns how similar the sensitivity of a latency-critical task is to those of the tasks on a runner. */
    private double similarity(TaskState task, RunnerState runner) {
        if (runner.latencyCriticalImageCount() == 0) {
            return EMPTY_RUNNER_SIMILARITY;
        }
        if (runner.latencyCriticalImages.containsKey(task.image())) {
            return 1 - OTHER_IMAGE_PENALTY * (runner.latencyCriticalImageCount() - 1);
        }
        double lowest = 1;
        for (String criticalImage : runner.latencyCriticalImages.keySet()) {
            lowest = Math.min(lowest, interferenceModel.similarity(criticalImage, task.image()));
        }
        return lowest;
    }

    private double score(TaskState task, RunnerState runner, RunnerEntry entry, long nowMs) {
        StepSpec spec = task.step.spec;
        double capacity = Math.max(1, entry.capacity().processorsMillicores());
        double idleFraction = runner.idleMillicores() / capacity;
        double score = -FAILURE_PENALTY * runner.failures
                - COLD_PENALTY * Math.min(1, entry.coldRemainingMs() / COLD_REFERENCE_MS);
        if (spec.hasTrait(Trait.FILLS)) {
            score += idleFraction - INTERFERENCE_WEIGHT * headroomFraction(task, runner, nowMs);
        } else if (task.isLatencyCritical()) {
            double usedFraction = runner.reservedResources.processorsMillicores() / capacity;
            score += usedFraction
                    + SIMILARITY_WEIGHT * similarity(task, runner)
                    - INTERFERENCE_WEIGHT * slackLossOn(runner, task.image());
        } else {
            // Best fit: prefers the fullest runner, so that larger tasks still find room elsewhere.
            score += runner.reservedResources.processorsMillicores() / capacity
                    + (runner.latencyCriticalImageCount() > 0 ? 1 : 0);
        }
        if (spec.placement().dataRack().isPresent()
                && spec.placement().dataRack().get().equals(entry.rack())) {
            score += DATA_RACK_BONUS;
        }
        return score - (runner.id.equals(task.avoidRunner) ? AVOIDED_RUNNER_PENALTY : 0);
    }
}
