package org.pollensill.queue;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * The operator's configuration of all queues.
 *
 * @param version version of the configuration; a higher version replaces a lower one
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
