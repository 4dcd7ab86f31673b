package org.pollensill.batch;

import java.util.Objects;
import java.util.Set;

import org.pollensill.worker.Resources;

/**
 * A task that needs a worker.
 *
 * @param jobId the task's job
 * @param kind the task's kind
 * @param size resources to allocate for it
 * @param urgent whether it may use workers that are reserved for urgent tasks
 * @param avoided workers to avoid since the job failed there
 * @param nowNs monotonic time
 */
public record PlacementRequest(
        String jobId, String kind, Resources size, boolean urgent, Set<String> avoided, long nowNs) {

    /**
     * Creates a request.
     *
     * @throws NullPointerException if an argument is null
     */
    public PlacementRequest {
        Objects.requireNonNull(jobId, "jobId is null");
        Objects.requireNonNull(kind, "kind is null");
        Objects.requireNonNull(size, "size is null");
        Objects.requireNonNull(avoided, "avoided is null");
    }
}
