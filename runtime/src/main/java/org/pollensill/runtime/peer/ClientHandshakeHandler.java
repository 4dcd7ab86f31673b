package org.pollensill.runtime.peer;

import java.util.concurrent.CompletableFuture;

import com.google.protobuf.ByteString;
import io.netty.channel.ChannelHandlerContext;
import org.pollensill.runtime.peer.wire.Envelope;
import org.pollensill.runtime.peer.wire.Hello;
import org.pollensill.runtime.peer.wire.HelloReply;

/** Connecting side of the peer handshake: answers the listener's challenge with a proof. */
final class ClientHandshakeHandler extends PeerChannelHandler {

    private final PeerIdentity self;
    private final FleetToken token;
    private final CompletableFuture<PeerLink> established;
    private final String address;

    ClientHandshakeHandler(
            PeerIdentity self,
            FleetToken token,
            PeerHandler handler,
            CompletableFuture<PeerLink> established,
            String address) {
        super(handler);
        this.self = self;
        this.token = token;
        this.established = established;
        this.address = address;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) throws Exception {
        context.writeAndFlush(Envelope.newBuilder().setHello(hello(self)).build());
        super.channelActive(context);
    }

    @Override
    void handleHandshake(ChannelHandlerContext context, Envelope envelope) {
        if (!envelope.hasHelloReply()) {
            reject(context, "message before the end of the handshake");
            return;
        }
        HelloReply reply = envelope.getHelloReply();
        if (!reply.getAccepted()) {
            byte[] proof = token.computeProof(reply.getChallenge().toByteArray(), self);
            context.writeAndFlush(Envelope.newBuilder()
                    .setHello(hello(self).setProof(ByteString.copyFrom(proof)))
                    .build());
            return;
        }
        Hello hello = reply.getHello();
        PeerIdentity peer = new PeerIdentity(
                hello.getRole(), hello.getRegion(), hello.getZone(), hello.getHost(), hello.getIncarnation(), address);
        established.complete(completeHandshake(context, peer, true));
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) throws Exception {
        established.completeExceptionally(new PeerException(PeerException.Reason.REJECTED, address));
        super.channelInactive(context);
    }
}
