package org.pollensill.job;

import java.util.List;
import java.util.Objects;

/**
 * A job as a client handed it in.
 *
 * @param id the job's identity, chosen by the client
 * @param queue the queue's name
 * @param service the service whose runners run the tasks, as configured at the time
 * @param payload text for the runners
 * @param steps the steps
 * @param timetable when the job is due
 * @param acceptedAtMs time of day of the acceptance
 */
public record JobRequest(
        String id,
        String queue,
        String service,
        String payload,
        List<StepSpec> steps,
        Timetable timetable,
        long acceptedAtMs) {

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
        Objects.requireNonNull(timetable, "timetable is null");
    }

    /**
     * Returns the estimated time of the longest chain of steps.
     *
     * @return the time in milliseconds
     */
    public long chainMs() {
        long[] endMs = new long[steps.size()];
        long longestMs = 0;
        for (int i = 0; i < endMs.length; i++) {
            long beginMs = 0;
            for (int before : steps.get(i).after()) {
                if (before >= 0 && before < i) {
                    beginMs = Math.max(beginMs, endMs[before]);
                }
            }
            endMs[i] = beginMs + steps.get(i).estimateMs();
            longestMs = Math.max(longestMs, endMs[i]);
        }
        return longestMs;
    }
}
