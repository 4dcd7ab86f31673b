package org.pollensill.zone;

import java.util.List;
import java.util.Objects;

/**
 * Periodic message between members, also sent to them by a process that requests admission.
 *
 * @param from the sender
 * @param sequence sequence number, repeated in the reply
 * @param epoch epoch of the sender's view, 0 if it has none
 * @param leaving whether the sender wants to hand over its slices
 * @param releases slices of the receiver that the sender has stopped using
 */
public record Heartbeat(MemberId from, long sequence, long epoch, boolean leaving, List<Release> releases) {

    /**
     * Creates a heartbeat.
     *
     * @throws NullPointerException if an argument is null
     */
    public Heartbeat {
        Objects.requireNonNull(from, "from is null");
        releases = List.copyOf(Objects.requireNonNull(releases, "releases is null"));
    }
}
