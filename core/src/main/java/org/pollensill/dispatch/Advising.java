package org.pollensill.dispatch;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.pollensill.queue.AdviceTerms;
import org.pollensill.runner.AdviceAnswer;

/** Decides for which step and which runners advice is asked next; one call is in flight at a time. */
final class Advising {

    /** Runners that a call names; a call may name 100, but each one takes time. */
    private static final int RUNNERS_ASKED = 30;

    /** Added to the stated time of a call before it counts as lost. */
    private static final long SLACK_MS = 1_500;

    private static final long FIRST_PAUSE_MS = 100;
    private static final int MOST_DOUBLINGS = 5;

    private final JobTable jobs;
    private final Fleet fleet;
    private boolean inFlight;
    private long nextAtMs;
    private int failures;

    Advising(JobTable jobs, Fleet fleet) {
        this.jobs = jobs;
        this.fleet = fleet;
    }

    /** Returns the next call, if one is due. */
    Optional<AdviceRequest> next(long nowMs) {
        if (inFlight || nowMs < nextAtMs) {
            return Optional.empty();
        }
        for (StepState step : jobs.advisedSteps(nowMs)) {
            Map<String, Long> runners = candidates(step, nowMs);
            if (!runners.isEmpty()) {
                inFlight = true;
                AdviceTerms terms = step.job.advice.get();
                return Optional.of(new AdviceRequest(step, runners, terms.callMs(runners.size()) + SLACK_MS, nowMs));
            }
        }
        return Optional.empty();
    }

    /** Returns runners to ask about: those allowed before first, then unknown ones with the most idle processors. */
    private Map<String, Long> candidates(StepState step, long nowMs) {
        int valid = 0;
        List<RunnerState> known = new ArrayList<>();
        List<RunnerState> unknown = new ArrayList<>();
        for (RunnerState runner : fleet.all()) {
            if (!runner.accepts(nowMs) || step.tickets.isRefused(runner) || !Placement.matches(step, runner)) {
                continue;
            }
            if (step.tickets.forRunner(runner, nowMs).isPresent()) {
                valid += slots(step, runner);
            } else if (step.tickets.wasAllowed(runner)) {
                known.add(runner);
            } else {
                unknown.add(runner);
            }
        }
        if (valid >= step.waiting()) {
            return Map.of();
        }
        unknown.sort((one, other) -> Long.compare(other.idleMillicores(), one.idleMillicores()));
        known.addAll(unknown);
        Map<String, Long> asked = new LinkedHashMap<>();
        for (RunnerState runner : known.subList(0, Math.min(RUNNERS_ASKED, known.size()))) {
            asked.put(runner.id, runner.bornMs);
        }
        return asked;
    }

    private static int slots(StepState step, RunnerState runner) {
        long free = runner.capacity().processorsMillicores() - runner.counted.processorsMillicores();
        long need = Math.max(1, step.spec.counted().processorsMillicores());
        return (int) Math.min(step.tasks.size(), Math.max(0, free / need));
    }

    void answered(AdviceRequest request, AdviceAnswer answer, long nowMs) {
        inFlight = false;
        if (answer instanceof AdviceAnswer.Decided decided) {
            failures = 0;
            // The validity is counted from the question, since the answer may have been on its way for long.
            long endMs = request.sentAtMs() + decided.validMs();
            request.step().tickets.decided(request.runners(), decided.tickets(), endMs);
            return;
        }
        nextAtMs = nowMs + (FIRST_PAUSE_MS << Math.min(MOST_DOUBLINGS, failures));
        failures++;
    }
}
