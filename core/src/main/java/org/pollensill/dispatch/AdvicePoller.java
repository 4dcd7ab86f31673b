package org.pollensill.dispatch;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

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

    private final JobTable jobs;
    private final Fleet fleet;
    private boolean inFlight;
    private long nextCallAtMs;
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
        for (StepState step : jobs.stepsNeedingAdvice(nowMs)) {
            Map<String, Long> runners = candidates(step, nowMs);
            if (!runners.isEmpty()) {
                inFlight = true;
                AdviceTiming adviceTiming = step.job.advice.get();
                return Optional.of(new AdviceRequest(
                        step, runners, adviceTiming.callMs(runners.size()) + TIMEOUT_MARGIN_MS, nowMs));
            }
        }
        return Optional.empty();
    }

    /** Returns the runners for a call: first those allowed earlier, then the others by descending idle processors. */
    private Map<String, Long> candidates(StepState step, long nowMs) {
        int coveredTasks = 0;
        List<RunnerState> preferred = new ArrayList<>();
        List<RunnerState> undecided = new ArrayList<>();
        for (RunnerState runner : fleet.all()) {
            if (!runner.accepts(nowMs) || step.tickets.isRefused(runner) || !RunnerSelector.matches(step, runner)) {
                continue;
            }
            if (step.tickets.forRunner(runner, nowMs).isPresent()) {
                coveredTasks += taskCapacity(step, runner);
            } else if (step.tickets.wasAllowed(runner)) {
                preferred.add(runner);
            } else {
                undecided.add(runner);
            }
        }
        if (coveredTasks >= step.waiting()) {
            return Map.of();
        }
        undecided.sort((left, right) -> Long.compare(right.idleMillicores(), left.idleMillicores()));
        preferred.addAll(undecided);
        Map<String, Long> selected = new LinkedHashMap<>();
        for (RunnerState runner : preferred.subList(0, Math.min(MAX_RUNNERS_PER_CALL, preferred.size()))) {
            selected.put(runner.id, runner.incarnationStartMs);
        }
        return selected;
    }

    private static int taskCapacity(StepState step, RunnerState runner) {
        long freeMillicores =
                runner.capacity().processorsMillicores() - runner.reservedResources.processorsMillicores();
        long neededMillicores = Math.max(1, step.spec.reservedResources().processorsMillicores());
        return (int) Math.min(step.tasks.size(), Math.max(0, freeMillicores / neededMillicores));
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
