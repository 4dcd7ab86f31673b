package org.pollensill.runtime.peer;

import java.util.Objects;

import io.netty.channel.Channel;
import org.pollensill.runtime.peer.wire.Envelope;

/** An established connection to a peer: its handshake is complete. */
public final class PeerLink {

    /** The connection is closed when more than this is queued for a slow peer. */
    static final int MAX_PENDING_BYTES = 32 << 20;

    private final Channel channel;
    private final PeerIdentity peer;
    private final boolean outgoing;
    private final long attemptNs;

    PeerLink(Channel channel, PeerIdentity peer, boolean outgoing, long attemptNs) {
        this.channel = Objects.requireNonNull(channel, "channel is null");
        this.peer = Objects.requireNonNull(peer, "peer is null");
        this.outgoing = outgoing;
        this.attemptNs = attemptNs;
    }

    /**
     * Returns the start time of the connection attempt.
     *
     * @return the time by {@link System#nanoTime}; on the listener side, the time when the connection was accepted
     */
    public long attemptNs() {
        return attemptNs;
    }

    /**
     * Returns whether this process opened the connection.
     *
     * @return true for a connection that this process opened
     */
    public boolean isOutgoing() {
        return outgoing;
    }

    /**
     * Returns the identity of the peer.
     *
     * @return the identity
     */
    public PeerIdentity peer() {
        return peer;
    }

    /**
     * Returns whether the connection is open.
     *
     * @return true while messages can be sent
     */
    public boolean isOpen() {
        return channel.isActive();
    }

    /**
     * Sends a message without waiting. A message on a closed connection is lost; {@link PeerHandler#disconnected}
     * reports the close.
     *
     * @param envelope the message
     */
    public void send(Envelope envelope) {
        if (channel.unsafe().outboundBuffer() != null
                && channel.unsafe().outboundBuffer().totalPendingWriteBytes() > MAX_PENDING_BYTES) {
            channel.close();
            return;
        }
        channel.writeAndFlush(envelope);
    }

    /** Closes the connection. */
    public void close() {
        channel.close();
    }
}
