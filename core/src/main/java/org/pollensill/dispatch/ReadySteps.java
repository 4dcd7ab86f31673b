package org.pollensill.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.pollensill.job.Trait;

/**
 * The ready steps. A round of placement considers a bounded number: where more are ready, the most urgent ones, those
 * that have become ready since, and in turn the others, so that none waits behind steps that find no room.
 */
final class ReadySteps {

    /** Maximum number of steps that a round considers. */
    static final int MAX_PER_ROUND = 1_000;

    private static final int MAX_URGENT = MAX_PER_ROUND / 2;
    private static final int MAX_RECENT = MAX_PER_ROUND / 4;
    private static final int MAX_IN_TURN = MAX_PER_ROUND / 4;

    /** Maximum number of the most urgent steps that belong to one job. */
    private static final int MAX_URGENT_PER_JOB = 50;

    /** Interval between two searches for the most urgent steps while not all fit into a round. */
    private static final long RANKING_INTERVAL_MS = 250;

    private static final Comparator<RankedStep> BY_URGENCY = Comparator.<RankedStep>comparingInt(RankedStep::lateness)
            .thenComparingInt(ranked -> ranked.step().job.priority())
            .thenComparing(ranked -> !ranked.step().runsToCompletion())
            .thenComparingDouble(RankedStep::heldFraction)
            .thenComparingLong(ranked -> ranked.step().occurrence.deadlineMs());

    /**
     * A step with its sort keys.
     *
     * @param step the step
     * @param lateness 0 if the job can meet its objective, 1 if it will be late, 2 if completion has no value
     * @param heldFraction fraction of the tasks that are on runners, for a long-running step; otherwise 0
     */
    private record RankedStep(StepState step, int lateness, double heldFraction) {

        private static RankedStep of(StepState step, long nowMs) {
            if (step.spec.hasTrait(Trait.RESTART_ALWAYS)) {
                return new RankedStep(step, 0, step.heldFraction());
            }
            return new RankedStep(step, step.occurrence.lateness(nowMs), 0);
        }
    }

    private final Set<StepState> steps = new LinkedHashSet<>();
    /** The most urgent steps at the last search, while not all fit into a round. */
    private final List<StepState> urgent = new ArrayList<>();
    /** The steps that have become ready since. */
    private final Set<StepState> recent = new LinkedHashSet<>();

    private long rankedAtMs = Long.MIN_VALUE / 2;

    /** Returns all ready steps; some may belong to ended jobs. */
    Collection<StepState> all() {
        return Collections.unmodifiableSet(steps);
    }

    void add(StepState step) {
        steps.add(step);
        if (steps.size() > MAX_PER_ROUND) {
            recent.add(step);
        }
    }

    void remove(StepState step) {
        steps.remove(step);
        recent.remove(step);
    }

    /**
     * Returns the steps with placeable tasks that this round considers, most urgent first. Occurrences that can still
     * meet their objective come before late ones.
     */
    List<StepState> next(long nowMs) {
        List<StepState> sorted = new ArrayList<>();
        for (RankedStep next : ranked(candidates(nowMs), nowMs)) {
            sorted.add(next.step());
        }
        return sorted;
    }

    private List<RankedStep> ranked(Collection<StepState> candidates, long nowMs) {
        List<RankedStep> ranked = new ArrayList<>();
        for (StepState step : candidates) {
            if (step.job.status.isFinal() || step.complete()) {
                remove(step);
            } else if (step.job.placeable() && step.hasPlaceableTask(nowMs)) {
                ranked.add(RankedStep.of(step, nowMs));
            }
        }
        ranked.sort(BY_URGENCY);
        return ranked;
    }

    private Collection<StepState> candidates(long nowMs) {
        if (steps.size() <= MAX_PER_ROUND) {
            urgent.clear();
            recent.clear();
            return new ArrayList<>(steps);
        }
        if (nowMs - rankedAtMs >= RANKING_INTERVAL_MS) {
            rankedAtMs = nowMs;
            findUrgent(nowMs);
        }
        Set<StepState> candidates = new LinkedHashSet<>(urgent);
        recent.stream().limit(MAX_RECENT).forEach(candidates::add);
        takeTurn(candidates);
        return candidates;
    }

    private void findUrgent(long nowMs) {
        urgent.clear();
        recent.clear();
        Map<JobState, Integer> urgentByJob = new HashMap<>();
        for (RankedStep next : ranked(new ArrayList<>(steps), nowMs)) {
            if (urgent.size() == MAX_URGENT) {
                return;
            }
            if (urgentByJob.merge(next.step().job, 1, Integer::sum) <= MAX_URGENT_PER_JOB) {
                urgent.add(next.step());
            }
        }
    }

    /** Adds the steps whose turn it is, which then come last. */
    private void takeTurn(Set<StepState> candidates) {
        List<StepState> taken = new ArrayList<>();
        for (Iterator<StepState> next = steps.iterator(); next.hasNext() && taken.size() < MAX_IN_TURN; ) {
            taken.add(next.next());
            next.remove();
        }
        steps.addAll(taken);
        candidates.addAll(taken);
    }
}
