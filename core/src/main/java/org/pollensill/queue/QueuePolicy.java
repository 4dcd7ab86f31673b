package org.pollensill.queue;

import java.util.Objects;
import java.util.Optional;

/**
 * A queue as the operator configured it.
 *
 * @param name the queue's name
 * @param host the host that clients name
 * @param pathPrefix the beginning of the paths that belong to the queue
 * @param service the service whose runners run the tasks
 * @param priority 0 comes first
 * @param attempts most runs of a task that may end as failed
 * @param stretch the objective as a multiple of a job's longest chain of work
 * @param targetLatencyMs what the objective allows beyond that
 * @param advice how the advice service names the runners of each step, empty where any runner may run it
 */
public record QueuePolicy(
        String name,
        String host,
        String pathPrefix,
        String service,
        int priority,
        int attempts,
        double stretch,
        long targetLatencyMs,
        Optional<AdviceTerms> advice) {

    /**
     * Creates a queue.
     *
     * @throws NullPointerException if an argument is null
     */
    public QueuePolicy {
        Objects.requireNonNull(name, "name is null");
        Objects.requireNonNull(host, "host is null");
        Objects.requireNonNull(pathPrefix, "pathPrefix is null");
        Objects.requireNonNull(service, "service is null");
        Objects.requireNonNull(advice, "advice is null");
    }
}
