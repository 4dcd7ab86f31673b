package org.pollensill.runtime.peer;

import java.util.Objects;

/**
 * Identity of a process of the fleet. Its string form is part of the proof of the fleet token, so both peers must have
 * the same component names and order.
 *
 * @param role {@code entry} or {@code scheduler}
 * @param region the region
 * @param zone the availability zone
 * @param host the host's name
 * @param incarnation distinguishes successive processes on the same host
 * @param address the address of the peer listener
 */
public record PeerIdentity(String role, String region, String zone, String host, String incarnation, String address) {

    /**
     * Creates an identity.
     *
     * @throws NullPointerException if an argument is null
     */
    public PeerIdentity {
        Objects.requireNonNull(role, "role is null");
        Objects.requireNonNull(region, "region is null");
        Objects.requireNonNull(zone, "zone is null");
        Objects.requireNonNull(host, "host is null");
        Objects.requireNonNull(incarnation, "incarnation is null");
        Objects.requireNonNull(address, "address is null");
    }
}
