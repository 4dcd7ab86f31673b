package org.pollensill.runner;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Tells which runners a queue's policy allows to run a step. Answers never fail; a failed call has a kind of its own. */
public interface AdviceService {

    /**
     * Asks for a step.
     *
     * @param step the step's name
     * @param runnerIds the runners to judge, at most 100
     * @param timeoutMs longest time to the answer
     * @return the answer
     */
    CompletableFuture<AdviceAnswer> advise(StepName step, List<String> runnerIds, long timeoutMs);
}
