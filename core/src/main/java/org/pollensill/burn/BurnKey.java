package org.pollensill.burn;

import java.util.Objects;

/**
 * Service and kind of work for which requests are counted.
 *
 * @param service the service
 * @param kind the kind of work
 */
public record BurnKey(String service, String kind) implements Comparable<BurnKey> {

    /**
     * Creates a key.
     *
     * @throws NullPointerException if an argument is null
     */
    public BurnKey {
        Objects.requireNonNull(service, "service is null");
        Objects.requireNonNull(kind, "kind is null");
    }

    @Override
    public int compareTo(BurnKey other) {
        int byService = service.compareTo(other.service);
        return byService != 0 ? byService : kind.compareTo(other.kind);
    }

    @Override
    public String toString() {
        return service + "/" + kind;
    }
}
