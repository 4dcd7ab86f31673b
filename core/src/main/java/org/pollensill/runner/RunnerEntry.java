package org.pollensill.runner;

import java.util.List;
import java.util.Objects;

import org.pollensill.worker.Resources;

/**
 * A runner as it describes itself.
 *
 * @param id the runner's identity
 * @param service the service that it belongs to
 * @param address where it takes orders, as host:port
 * @param zone its availability zone
 * @param draining whether it is about to leave
 * @param remainingMs how much longer it stays at least while draining
 * @param capacity what it holds
 * @param labels its kind and its rack
 * @param bornMs start of this life of the runner
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
        long bornMs) {

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
     * Returns the rack: the last label.
     *
     * @return the rack, empty text where the runner names none
     */
    public String rack() {
        return labels.size() > 1 ? labels.get(labels.size() - 1) : "";
    }
}
