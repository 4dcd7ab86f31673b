package org.pollensill.contract;

import java.util.List;
import java.util.Objects;

/**
 * Load of one service at an owner, reported in heartbeats and forwarded answers.
 *
 * @param service the service
 * @param totalSlots slots that the owner may use
 * @param freeSlots free slots among them
 * @param kinds load by kind
 */
public record PoolLoad(String service, int totalSlots, int freeSlots, List<KindLoad> kinds) {

    /**
     * Load of one kind.
     *
     * @param kind the kind
     * @param queued queued requests
     * @param running slots held by requests of the kind
     * @param freeSlots slots that new requests of the kind could take immediately
     * @param queueWaitMs expected wait of a new request
     */
    public record KindLoad(String kind, int queued, int running, int freeSlots, long queueWaitMs) {

        /**
         * Creates a load.
         *
         * @throws NullPointerException if {@code kind} is null
         */
        public KindLoad {
            Objects.requireNonNull(kind, "kind is null");
        }
    }

    /**
     * Creates a load.
     *
     * @throws NullPointerException if an argument is null
     */
    public PoolLoad {
        Objects.requireNonNull(service, "service is null");
        kinds = List.copyOf(Objects.requireNonNull(kinds, "kinds is null"));
    }
}
