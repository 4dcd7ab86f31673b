package org.pollensill.runtime.peer;

import java.io.IOException;
import java.util.Optional;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import org.pollensill.runtime.event.EventLog;
import org.pollensill.runtime.event.RuntimeEvent;
import org.pollensill.runtime.peer.wire.Envelope;
import org.pollensill.runtime.peer.wire.Hello;

/** Base of both sides of a peer connection: performs the handshake, then passes messages to the handler. */
abstract class PeerChannelHandler extends SimpleChannelInboundHandler<Envelope> {

    static final int PROTOCOL_VERSION = 1;

    private static final EventLog LOG = EventLog.of(PeerChannelHandler.class);

    private final PeerHandler handler;
    private final long attemptNs = System.nanoTime();
    private Optional<PeerLink> link = Optional.empty();

    PeerChannelHandler(PeerHandler handler) {
        this.handler = handler;
    }

    /** Handles a message that arrives before the handshake is complete. */
    abstract void handleHandshake(ChannelHandlerContext context, Envelope envelope);

    /** Completes the handshake and reports the connection to the handler. */
    final PeerLink completeHandshake(ChannelHandlerContext context, PeerIdentity peer, boolean outgoing) {
        PeerLink established = new PeerLink(context.channel(), peer, outgoing, attemptNs);
        link = Optional.of(established);
        LOG.log(RuntimeEvent.PEER_CONNECTED, "peer", peer.host(), "zone", peer.zone(), "role", peer.role());
        handler.connected(established);
        return established;
    }

    final void reject(ChannelHandlerContext context, String reason) {
        LOG.log(
                RuntimeEvent.PEER_REJECTED,
                "problem",
                reason,
                "address",
                context.channel().remoteAddress());
        context.close();
    }

    static Hello.Builder hello(PeerIdentity self) {
        return Hello.newBuilder()
                .setProtocolVersion(PROTOCOL_VERSION)
                .setRole(self.role())
                .setRegion(self.region())
                .setZone(self.zone())
                .setHost(self.host())
                .setIncarnation(self.incarnation())
                .setPeerAddress(self.address());
    }

    @Override
    protected final void channelRead0(ChannelHandlerContext context, Envelope envelope) {
        if (link.isPresent()) {
            handler.received(link.get(), envelope);
            return;
        }
        handleHandshake(context, envelope);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) throws Exception {
        if (link.isPresent()) {
            LOG.log(RuntimeEvent.PEER_DISCONNECTED, "peer", link.get().peer().host());
            handler.disconnected(link.get());
        }
        super.channelInactive(context);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (!(cause instanceof IOException)) {
            LOG.log(RuntimeEvent.PEER_FAILED, cause, new Object[0]);
        }
        context.close();
    }
}
