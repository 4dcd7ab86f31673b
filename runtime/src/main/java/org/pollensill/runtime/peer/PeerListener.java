package org.pollensill.runtime.peer;

import java.net.InetSocketAddress;

import org.pollensill.runtime.peer.wire.Envelope;

/** Listener for peer messages and connection events. Runs on event loops and must not block. */
public interface PeerListener {

    /**
     * Called when a message arrives. Each listener receives all messages and ignores those of other listeners.
     *
     * @param link the connection
     * @param envelope the message
     */
    void received(PeerLink link, Envelope envelope);

    /**
     * Called when the handshake of a connection, incoming or outgoing, is complete.
     *
     * @param link the connection
     */
    default void connected(PeerLink link) {}

    /**
     * Called when a connection is closed.
     *
     * @param link the connection
     */
    default void disconnected(PeerLink link) {}

    /**
     * Called when a peer's host refuses a connection: no process listens at the address.
     *
     * @param address the address
     * @param attemptNs start of the attempt by {@link System#nanoTime}; the refusal gives no information about a
     *     process that started later
     */
    default void connectionRefused(InetSocketAddress address, long attemptNs) {}
}
