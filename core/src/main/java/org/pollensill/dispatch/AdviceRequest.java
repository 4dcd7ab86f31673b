package org.pollensill.dispatch;

import java.util.List;
import java.util.Map;
import java.util.Objects;

import org.pollensill.runner.StepName;

/** A call for advice: which of some runners may run a step. */
public final class AdviceRequest {

    private final StepState step;
    private final Map<String, Long> runners;
    private final long timeoutMs;
    private final long sentAtMs;

    /**
     * Creates a request.
     *
     * @param step the step
     * @param runners the runners to judge, and the start of the life that each one has
     * @param timeoutMs longest time to the answer
     * @param sentAtMs the time of the call
     */
    AdviceRequest(StepState step, Map<String, Long> runners, long timeoutMs, long sentAtMs) {
        this.step = Objects.requireNonNull(step, "step is null");
        this.runners = Map.copyOf(Objects.requireNonNull(runners, "runners is null"));
        this.timeoutMs = timeoutMs;
        this.sentAtMs = sentAtMs;
    }

    StepState step() {
        return step;
    }

    Map<String, Long> runners() {
        return runners;
    }

    long sentAtMs() {
        return sentAtMs;
    }

    /**
     * Returns how long the answer may take.
     *
     * @return the time in milliseconds
     */
    public long timeoutMs() {
        return timeoutMs;
    }

    /**
     * Returns the step's name.
     *
     * @return the name
     */
    public StepName name() {
        return new StepName(step.job.request.id(), step.occurrence, step.number);
    }

    /**
     * Returns the runners to judge.
     *
     * @return their identities
     */
    public List<String> runnerIds() {
        return List.copyOf(runners.keySet());
    }
}
