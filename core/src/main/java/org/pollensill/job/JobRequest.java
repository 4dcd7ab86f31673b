package org.pollensill.job;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * A job as submitted by a client.
 *
 * @param id the job's identity, chosen by the client
 * @param queue the queue's name
 * @param service the service whose runners run the tasks, as configured for the queue on acceptance
 * @param payload opaque text that the runners receive
 * @param steps the steps
 * @param schedule due times of the occurrences
 * @param acceptedAtMs Unix time of the acceptance
 * @param terms the terms of the queue on acceptance, empty for a job that a former version has stored
 */
public record JobRequest(
        String id,
        String queue,
        String service,
        String payload,
        List<StepSpec> steps,
        JobSchedule schedule,
        long acceptedAtMs,
        Optional<JobTerms> terms) {

    /**
     * Creates a job.
     *
     * @throws NullPointerException if an argument is null
     */
    public JobRequest {
        Objects.requireNonNull(id, "id is null");
        Objects.requireNonNull(queue, "queue is null");
        Objects.requireNonNull(service, "service is null");
        Objects.requireNonNull(payload, "payload is null");
        steps = List.copyOf(Objects.requireNonNull(steps, "steps is null"));
        Objects.requireNonNull(schedule, "schedule is null");
        Objects.requireNonNull(terms, "terms is null");
    }

    /**
     * Returns the estimated run time of the critical path: the longest chain of dependent steps.
     *
     * @return the time in milliseconds
     */
    public long criticalPathMs() {
        long[] endMs = new long[steps.size()];
        long longestMs = 0;
        for (int i = 0; i < endMs.length; i++) {
            long startMs = 0;
            for (int predecessor : steps.get(i).predecessors()) {
                if (predecessor >= 0 && predecessor < i) {
                    startMs = Math.max(startMs, endMs[predecessor]);
                }
            }
            endMs[i] = startMs + steps.get(i).estimateMs();
            longestMs = Math.max(longestMs, endMs[i]);
        }
        return longestMs;
    }
}
