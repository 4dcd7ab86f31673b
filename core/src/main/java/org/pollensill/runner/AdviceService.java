package org.pollensill.runner;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Decides which runners may run a step under the policy of its queue. The returned futures never complete
 * exceptionally; a failed call yields {@link AdviceAnswer.Failed}.
 */
public interface AdviceService {

    /**
     * Requests tickets for a step.
     *
     * @param step the step's name
     * @param runnerIds identities of the candidate runners, at most 100
     * @param timeoutMs max time until the answer is complete
     * @return the answer
     */
    CompletableFuture<AdviceAnswer> advise(StepName step, List<String> runnerIds, long timeoutMs);
}
