package org.pollensill.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.pollensill.job.Trait;
import org.pollensill.queue.AdviceTiming;
import org.pollensill.runner.AdviceAnswer;

/** Selects the step and the runners of the next advice call; at most one call is in flight. */
final class AdvicePoller {

    /** Maximum number of runners per call. The service accepts 100, but each one adds to its response time. */
    private static final int MAX_RUNNERS_PER_CALL = 30;

    /** Added to the response time that the service states before a call counts as lost. */
    private static final long TIMEOUT_MARGIN_MS = 1_500;

    private static final long INITIAL_BACKOFF_MS = 100;
    private static final int MAX_BACKOFF_DOUBLINGS = 5;

    /**
     * Runners with capacity come first, among them those allowed earlier, since another request surely yields a ticket.
     * Of the runners without capacity, those not asked yet come first, so that none is asked again and again instead of
     * them.
     */
    private static final Comparator<Candidate> MOST_USEFUL_FIRST = Comparator.comparing(Candidate::hasCapacity)
            .thenComparing(candidate -> candidate.hasCapacity() == candidate.allowedEarlier())
            .thenComparing(Candidate::taskCapacity)
            .thenComparing(Candidate::idleMillicores)
            .reversed();

    /**
     * A runner without a valid ticket for a step.
     *
     * @param runner the runner
     * @param taskCapacity number of tasks of the step that it could take now
     * @param allowedEarlier whether the service has allowed it for the step before
     * @param idleMillicores its idle processors
     */
    private record Candidate(RunnerState runner, int taskCapacity, boolean allowedEarlier, long idleMillicores) {
        private boolean hasCapacity() {
            return taskCapacity > 0;
        }
    }

    private final JobTable jobs;
    private final Fleet fleet;
    private boolean inFlight;
    private long nextCallAtMs;
    /** Alternates, so that neither overdue tasks nor the others wait for as long as there are any of the other kind. */
    private boolean overdueFirst = true;

    private int consecutiveFailures;

    AdvicePoller(JobTable jobs, Fleet fleet) {
        this.jobs = jobs;
        this.fleet = fleet;
    }

    /** Returns the next call, if one is due. */
    Optional<AdviceRequest> next(long nowMs) {
        if (inFlight || nowMs < nextCallAtMs) {
            return Optional.empty();
        }
        for (StepState step : jobs.stepsNeedingAdvice(nowMs, overdueFirst)) {
            Map<String, Long> runners = candidates(step, nowMs);
            if (!runners.isEmpty()) {
                inFlight = true;
                overdueFirst = !CapacityReservations.hasOverdueTask(step, nowMs);
                AdviceTiming adviceTiming = step.job.advice().get();
                return Optional.of(new AdviceRequest(
                        step, runners, adviceTiming.callMs(runners.size()) + TIMEOUT_MARGIN_MS, nowMs));
            }
        }
        return Optional.empty();
    }

    /**
     * Returns the runners for a call, none if those with a valid ticket have capacity for all waiting tasks. Runners
     * that lack capacity follow last, since tasks may end or be preempted there; those too small for a task are left
     * out, and for best-effort tasks, for which nothing is preempted, all that lack capacity.
     */
    private Map<String, Long> candidates(StepState step, long nowMs) {
        Map<RunnerState, Integer> present = tasksByRunner(step);
        long coveredTasks = 0;
        List<Candidate> candidates = new ArrayList<>();
        for (RunnerState runner : fleet.all()) {
            if (!runner.accepts(nowMs) || step.tickets.isRefused(runner) || !RunnerSelector.matches(step, runner)) {
                continue;
            }
            if (!step.spec.reservedResources().fitsIn(runner.capacity())) {
                continue;
            }
            int taskCapacity = RunnerSelector.taskCapacity(step, runner, present.getOrDefault(runner, 0), nowMs);
            if (step.tickets.forRunner(runner, nowMs).isPresent()) {
                coveredTasks += taskCapacity;
            } else if (taskCapacity > 0 || !step.spec.hasTrait(Trait.FILLS)) {
                candidates.add(
                        new Candidate(runner, taskCapacity, step.tickets.wasAllowed(runner), runner.idleMillicores()));
            }
        }
        if (coveredTasks >= step.waiting()) {
            return Map.of();
        }
        candidates.sort(MOST_USEFUL_FIRST);
        Map<String, Long> selected = new LinkedHashMap<>();
        for (Candidate candidate : candidates.subList(0, Math.min(MAX_RUNNERS_PER_CALL, candidates.size()))) {
            selected.put(candidate.runner().id, candidate.runner().incarnationStartMs);
        }
        return selected;
    }

    private static Map<RunnerState, Integer> tasksByRunner(StepState step) {
        Map<RunnerState, Integer> present = new HashMap<>();
        for (TaskState task : step.tasks) {
            if (task.hasRunner()) {
                present.merge(task.runner, 1, Integer::sum);
            }
        }
        return present;
    }

    void onAnswer(AdviceRequest request, AdviceAnswer answer, long nowMs) {
        inFlight = false;
        if (answer instanceof AdviceAnswer.Decided decided) {
            consecutiveFailures = 0;
            // Validity starts when the request is sent, since the answer may have been delayed in transit.
            long expiresAtMs = request.sentAtMs() + decided.validMs();
            request.step().tickets.recordDecision(request.runners(), decided.tickets(), expiresAtMs);
            return;
        }
        nextCallAtMs = nowMs + (INITIAL_BACKOFF_MS << Math.min(MAX_BACKOFF_DOUBLINGS, consecutiveFailures));
        consecutiveFailures++;
    }
}
