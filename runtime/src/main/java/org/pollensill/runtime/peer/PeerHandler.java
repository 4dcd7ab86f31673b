package org.pollensill.runtime.peer;

import org.pollensill.runtime.peer.wire.Envelope;

/** Receives the events of established peer connections. Runs on event loops and must not block. */
public interface PeerHandler {

    /**
     * Called when the handshake of a connection, incoming or outgoing, is complete.
     *
     * @param link the connection
     */
    void connected(PeerLink link);

    /**
     * Called when a message arrives.
     *
     * @param link the connection
     * @param envelope the message
     */
    void received(PeerLink link, Envelope envelope);

    /**
     * Called when a connection is closed.
     *
     * @param link the connection
     */
    void disconnected(PeerLink link);
}
