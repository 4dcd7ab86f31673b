package org.pollensill.platform;

import java.util.Objects;

/**
 * A host of the platform's host list. Numbers that do not apply to its role are 0.
 *
 * @param name the host's name
 * @param address IP address and port
 * @param role the role of the host
 * @param service the service of an upstream, empty for other roles
 * @param region the region
 * @param zone the availability zone
 * @param rack the rack
 * @param state whether the host is live or leaving
 * @param processorsMillicores processors of a worker in thousandths of a core
 * @param memoryBytes memory of a worker
 * @param accelerators accelerators of a worker
 * @param slots max concurrent requests of an upstream
 * @param connections max connections of an upstream
 */
public record Host(
        String name,
        String address,
        Role role,
        String service,
        String region,
        String zone,
        String rack,
        State state,
        int processorsMillicores,
        long memoryBytes,
        int accelerators,
        int slots,
        int connections) {

    /** Role of a host. */
    public enum Role {
        /** The daemon of an entry host that serves requests. */
        ENTRY,
        /** The daemon of an entry host that schedules batch tasks. */
        SCHEDULER,
        /** A back end of a service. */
        UPSTREAM,
        /** A machine that runs batch tasks. */
        WORKER
    }

    /** Whether a host takes new work. */
    public enum State {
        /** In service. */
        LIVE,
        /** About to stop; accepts no new work. */
        LEAVING
    }

    /**
     * Creates a host.
     *
     * @throws NullPointerException if an argument is null
     */
    public Host {
        Objects.requireNonNull(name, "name is null");
        Objects.requireNonNull(address, "address is null");
        Objects.requireNonNull(role, "role is null");
        Objects.requireNonNull(service, "service is null");
        Objects.requireNonNull(region, "region is null");
        Objects.requireNonNull(zone, "zone is null");
        Objects.requireNonNull(rack, "rack is null");
        Objects.requireNonNull(state, "state is null");
    }
}
