package org.pollensill.zone;

import java.util.List;
import java.util.Objects;
import java.util.OptionalLong;

/**
 * Reply to a heartbeat.
 *
 * @param from the sender of the reply
 * @param sequence sequence number of the heartbeat
 * @param epoch epoch of the sender's view, 0 if it has none
 * @param leaving whether the sender wants to hand over its slices
 * @param promiseMs for how long the sender promises to send no commit of a view; 0 if it makes no promise
 * @param readAgeMs time since the latest read that found the sender's view was sent; empty if there is none, or if the
 *     views of the two processes differ
 * @param releases slices of the receiver that the sender has stopped using
 */
public record HeartbeatReply(
        MemberId from,
        long sequence,
        long epoch,
        boolean leaving,
        long promiseMs,
        OptionalLong readAgeMs,
        List<Release> releases) {

    /**
     * Creates a reply.
     *
     * @throws NullPointerException if an argument is null
     */
    public HeartbeatReply {
        Objects.requireNonNull(from, "from is null");
        Objects.requireNonNull(readAgeMs, "readAgeMs is null");
        releases = List.copyOf(Objects.requireNonNull(releases, "releases is null"));
    }
}
