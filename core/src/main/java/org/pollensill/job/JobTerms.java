package org.pollensill.job;

import java.util.Objects;
import java.util.Optional;

import org.pollensill.queue.AdviceTiming;
import org.pollensill.queue.QueuePolicy;

/**
 * The terms under which a job runs, those of its queue. They are stored with the job, since the configuration may lack
 * the queue later on.
 *
 * @param priority priority of the job; 0 is the highest
 * @param attempts number of failed runs of a task after which the job fails, at least 1
 * @param stretch factor of the completion objective on the job's critical path
 * @param targetLatencyMs fixed allowance of the completion objective, added to the stretched critical path
 * @param advice timing of the advice service that decides which runners may run a step, empty if any runner may
 */
public record JobTerms(
        int priority, int attempts, double stretch, long targetLatencyMs, Optional<AdviceTiming> advice) {

    /**
     * Creates terms.
     *
     * @throws NullPointerException if {@code advice} is null
     * @throws IllegalArgumentException if {@code attempts} is below 1
     */
    public JobTerms {
        Objects.requireNonNull(advice, "advice is null");
        if (attempts < 1) {
            throw new IllegalArgumentException("attempts below 1: " + attempts);
        }
    }

    /**
     * Returns the terms of a queue.
     *
     * @param queue the queue
     * @return the terms
     */
    public static JobTerms of(QueuePolicy queue) {
        return new JobTerms(
                queue.priority(),
                Math.max(1, queue.attempts()),
                queue.stretch(),
                queue.targetLatencyMs(),
                queue.advice());
    }

    /**
     * Returns the objective of a job.
     *
     * @param criticalPathMs the estimated run time of the job's critical path in milliseconds
     * @return the time from the acceptance to the completion, in milliseconds
     */
    public long objectiveMs(long criticalPathMs) {
        return (long) (stretch * criticalPathMs) + targetLatencyMs;
    }
}
