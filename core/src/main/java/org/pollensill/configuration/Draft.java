package org.pollensill.configuration;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * A configuration as an operator has written it, with all that is invalid in it.
 *
 * @param version its version
 * @param queues the queues
 * @param services the services
 * @param limits limits of requests by name, in bytes or milliseconds
 * @param problems what cannot be read
 */
public record Draft(
        Optional<Long> version,
        List<Queue> queues,
        List<Service> services,
        Map<String, Long> limits,
        List<Finding> problems) {

    /** Name of the limit of a request's body, in bytes. */
    public static final String MAX_BODY_BYTES = "maximum size of a body in bytes";

    /** Name of the limit of a request's headers, in bytes. */
    public static final String MAX_HEADER_BYTES = "maximum size of the headers in bytes";

    /** Name of the time for the headers of a request, in milliseconds. */
    public static final String HEADER_TIMEOUT_MS = "time for the headers in ms";

    /** Name of the time after which an idle connection is closed, in milliseconds. */
    public static final String IDLE_TIMEOUT_MS = "time of an idle connection in ms";

    /**
     * A queue.
     *
     * @param name its name
     * @param host the host in the requests of clients
     * @param pathPrefix prefix of the paths of its requests
     * @param service its service
     * @param timeoutMs time within which a request is answered
     * @param targetLatencyMs fixed allowance of the objective
     * @param attempts number of failed runs after which a job fails
     * @param stretch factor of the objective on a job's critical path
     * @param fields all fields as text
     */
    public record Queue(
            String name,
            String host,
            String pathPrefix,
            String service,
            Optional<Long> timeoutMs,
            Optional<Long> targetLatencyMs,
            Optional<Long> attempts,
            Optional<Double> stretch,
            Map<String, String> fields) {

        /**
         * Creates a queue.
         *
         * @throws NullPointerException if {@code fields} is null
         */
        public Queue {
            fields = Map.copyOf(Objects.requireNonNull(fields, "fields is null"));
        }
    }

    /**
     * A service.
     *
     * @param name its name
     * @param standby whether its machines are off
     * @param maxConnections the maximum number of connections to a runner
     * @param fields all fields as text
     */
    public record Service(String name, boolean standby, Optional<Long> maxConnections, Map<String, String> fields) {

        /**
         * Creates a service.
         *
         * @throws NullPointerException if {@code fields} is null
         */
        public Service {
            fields = Map.copyOf(Objects.requireNonNull(fields, "fields is null"));
        }
    }

    /**
     * Creates a draft.
     *
     * @throws NullPointerException if an argument is null
     */
    public Draft {
        Objects.requireNonNull(version, "version is null");
        queues = List.copyOf(Objects.requireNonNull(queues, "queues is null"));
        services = List.copyOf(Objects.requireNonNull(services, "services is null"));
        limits = Map.copyOf(Objects.requireNonNull(limits, "limits is null"));
        problems = List.copyOf(Objects.requireNonNull(problems, "problems is null"));
    }
}
