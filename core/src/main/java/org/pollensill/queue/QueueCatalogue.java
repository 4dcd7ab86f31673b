package org.pollensill.queue;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * The operator's configuration of queues.
 *
 * @param version the configuration's version; higher ones replace lower ones
 * @param queues the queues
 */
public record QueueCatalogue(long version, List<QueuePolicy> queues) {

    /**
     * Creates a catalogue.
     *
     * @throws NullPointerException if {@code queues} is null
     */
    public QueueCatalogue {
        queues = List.copyOf(Objects.requireNonNull(queues, "queues is null"));
    }

    /**
     * Returns the queue that a path belongs to: the longest matching prefix of the host.
     *
     * @param host the host that the client named, without a port
     * @param path the path
     * @return the queue, empty where none matches
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
     * @return the queue, empty where it is not configured
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
