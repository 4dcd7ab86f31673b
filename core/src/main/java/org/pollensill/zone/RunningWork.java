package org.pollensill.zone;

import java.util.Objects;

/**
 * Work that a former owner still has in progress, including work of earlier owners for which it reserves capacity.
 *
 * @param resource the upstream or worker
 * @param kind the kind of work
 * @param count the number of work items
 * @param oldestDispatchAgeMs time since the oldest item was dispatched
 */
public record RunningWork(String resource, String kind, int count, long oldestDispatchAgeMs) {

    /**
     * Creates an entry.
     *
     * @throws NullPointerException if resource or kind is null
     */
    public RunningWork {
        Objects.requireNonNull(resource, "resource is null");
        Objects.requireNonNull(kind, "kind is null");
    }
}
