package org.pollensill.zone;

import java.util.Objects;

/**
 * Identity of a process. A restarted process has a new incarnation and is a different member.
 *
 * @param name the host's name
 * @param address IP address and port of the peer listener
 * @param incarnation distinguishes successive processes at the same address
 */
public record MemberId(String name, String address, String incarnation) {

    /**
     * Creates an identity.
     *
     * @throws NullPointerException if an argument is null
     */
    public MemberId {
        Objects.requireNonNull(name, "name is null");
        Objects.requireNonNull(address, "address is null");
        Objects.requireNonNull(incarnation, "incarnation is null");
    }
}
