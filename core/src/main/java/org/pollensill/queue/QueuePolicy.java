package org.pollensill.queue;

import java.util.Objects;
import java.util.Optional;

/**
 * Configuration of a queue.
 *
 * @param name the queue's name
 * @param host the host in the requests of clients
 * @param pathPrefix prefix of the request paths that belong to the queue
 * @param service the service whose runners run the tasks
 * @param priority priority of the queue; 0 is the highest
 * @param attempts number of failed runs of a task after which its job fails
 * @param stretch factor of the completion objective on a job's critical path
 * @param targetLatencyMs fixed allowance of the completion objective, added to the stretched critical path
 * @param advice timing of the advice service that decides which runners may run a step, empty if any runner may
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
        Optional<AdviceTiming> advice) {

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
