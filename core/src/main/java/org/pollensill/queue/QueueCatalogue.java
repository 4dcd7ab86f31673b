package org.pollensill.queue;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

/**
 * The operator's configuration of all queues.
 *
 * @param version version of the configuration; a higher version replaces a lower one
 * @param queues the queues
 * @param guardedServices the services whose runners refuse a start that exceeds their capacity; the others start
 *     whatever they are told to
 */
public record QueueCatalogue(long version, List<QueuePolicy> queues, Set<String> guardedServices) {

    /**
     * Creates a catalogue.
     *
     * @throws NullPointerException if an argument is null
     */
    public QueueCatalogue {
        queues = List.copyOf(Objects.requireNonNull(queues, "queues is null"));
        guardedServices = Set.copyOf(Objects.requireNonNull(guardedServices, "guardedServices is null"));
    }

    /**
     * Creates a catalogue in which no runner is known to guard its capacity.
     *
     * @param version version of the configuration
     * @param queues the queues
     * @throws NullPointerException if {@code queues} is null
     */
    public QueueCatalogue(long version, List<QueuePolicy> queues) {
        this(version, queues, Set.of());
    }

    /**
     * Returns the queue that a request belongs to: of the queues of the host, the one with the longest matching prefix.
     *
     * @param host the host of the request, without a port
     * @param path the path of the request
     * @return the queue, empty if none matches
     */
    public Optional<QueuePolicy> match(String host, String path) {
        QueuePolicy best = null;
        for (QueuePolicy queue : queues) {
            boolean matches = queue.host().equalsIgnoreCase(host) && path.startsWith(queue.pathPrefix());
            if (matches
                    && (best == null
                            || queue.pathPrefix().length() > best.pathPrefix().length())) {
                best = queue;
            }
        }
        return Optional.ofNullable(best);
    }

    /**
     * Returns a queue by its name.
     *
     * @param name the name
     * @return the queue, empty if it is not configured
     */
    public Optional<QueuePolicy> named(String name) {
        for (QueuePolicy queue : queues) {
            if (queue.name().equals(name)) {
                return Optional.of(queue);
            }
        }
        return Optional.empty();
    }
}
