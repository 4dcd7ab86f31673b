package org.pollensill.runtime.settings;

import java.util.Objects;

import org.pollensill.runtime.peer.PeerIdentity;

/**
 * The settings revision that a peer last reported.
 *
 * @param peer the peer
 * @param revision its settings revision
 * @param reportedAtMs wall-clock time of the report
 */
public record PeerRevision(PeerIdentity peer, long revision, long reportedAtMs) {

    /**
     * Creates a report.
     *
     * @throws NullPointerException if {@code peer} is null
     */
    public PeerRevision {
        Objects.requireNonNull(peer, "peer is null");
    }
}
