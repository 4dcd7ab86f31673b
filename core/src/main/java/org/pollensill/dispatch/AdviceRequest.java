package org.pollensill.dispatch;

import java.util.List;
import java.util.Map;
import java.util.Objects;

import org.pollensill.runner.StepName;

/** A call to the advice service, which decides which of the listed runners may run a step. */
public final class AdviceRequest {

    private final StepState step;
    private final Map<String, Long> runners;
    private final long timeoutMs;
    private final long sentAtMs;

    /**
     * Creates a request for one step.
     *
     * @param step the step
     * @param runners the runners to decide on, by identity, each with the start time of its current incarnation
     * @param timeoutMs maximum time until the answer
     * @param sentAtMs time at which the call was sent
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
     * Returns the time-out of the call.
     *
     * @return the time-out in milliseconds
     */
    public long timeoutMs() {
        return timeoutMs;
    }

    /**
     * Returns the name of the step.
     *
     * @return the name
     */
    public StepName name() {
        return new StepName(step.job.request.id(), step.occurrence.index, step.number);
    }

    /**
     * Returns the runners that the service decides on.
     *
     * @return their identities
     */
    public List<String> runnerIds() {
        return List.copyOf(runners.keySet());
    }
}
