package org.pollensill.runner;

import java.util.List;
import java.util.Objects;

import org.pollensill.worker.Resources;

/**
 * A runner as described in the row that it publishes.
 *
 * @param id the runner's identity
 * @param service the service that it belongs to
 * @param address address for orders, as host:port
 * @param zone its availability zone
 * @param draining whether it is draining before it stops
 * @param remainingMs min time that it remains available while draining
 * @param capacity total capacity
 * @param labels its labels; the last one of several names the rack
 * @param incarnationStartMs Unix time of the start of this incarnation
 * @param coldRemainingMs time for which it remains slow after its start
 */
public record RunnerEntry(
        String id,
        String service,
        String address,
        String zone,
        boolean draining,
        long remainingMs,
        Resources capacity,
        List<String> labels,
        long incarnationStartMs,
        long coldRemainingMs) {

    /**
     * Creates an entry.
     *
     * @throws NullPointerException if an argument is null
     */
    public RunnerEntry {
        Objects.requireNonNull(id, "id is null");
        Objects.requireNonNull(service, "service is null");
        Objects.requireNonNull(address, "address is null");
        Objects.requireNonNull(zone, "zone is null");
        Objects.requireNonNull(capacity, "capacity is null");
        labels = List.copyOf(Objects.requireNonNull(labels, "labels is null"));
    }

    /**
     * Returns the rack, which is the last of several labels.
     *
     * @return the rack, empty if the runner has fewer than two labels
     */
    public String rack() {
        return labels.size() > 1 ? labels.get(labels.size() - 1) : "";
    }
}
