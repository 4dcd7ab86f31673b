package org.pollensill.runtime.peer;

import com.google.protobuf.ByteString;
import io.netty.channel.ChannelHandlerContext;
import org.pollensill.runtime.peer.wire.Envelope;
import org.pollensill.runtime.peer.wire.Hello;
import org.pollensill.runtime.peer.wire.HelloReply;

/** Listener side of the peer handshake: accepts peers that prove possession of the fleet's shared secret. */
final class ServerHandshakeHandler extends PeerChannelHandler {

    private final PeerIdentity self;
    private final FleetToken token;
    private final byte[] challenge;
    private boolean challengeSent;

    ServerHandshakeHandler(PeerIdentity self, FleetToken token, PeerHandler handler) {
        super(handler);
        this.self = self;
        this.token = token;
        this.challenge = token.newChallenge();
    }

    @Override
    void handleHandshake(ChannelHandlerContext context, Envelope envelope) {
        if (!envelope.hasHello()) {
            reject(context, "message before the end of the handshake");
            return;
        }
        Hello hello = envelope.getHello();
        if (hello.getProtocolVersion() != PROTOCOL_VERSION) {
            reject(context, "unsupported protocol version " + hello.getProtocolVersion());
            return;
        }
        if (!challengeSent) {
            challengeSent = true;
            context.writeAndFlush(reply(false));
            return;
        }
        PeerIdentity peer = new PeerIdentity(
                hello.getRole(),
                hello.getRegion(),
                hello.getZone(),
                hello.getHost(),
                hello.getIncarnation(),
                hello.getPeerAddress());
        if (!token.verify(challenge, peer, hello.getProof().toByteArray())) {
            reject(context, "invalid proof of the fleet token");
            return;
        }
        context.writeAndFlush(reply(true));
        completeHandshake(context, peer, false);
    }

    private Envelope reply(boolean accepted) {
        return Envelope.newBuilder()
                .setHelloReply(HelloReply.newBuilder()
                        .setChallenge(ByteString.copyFrom(challenge))
                        .setAccepted(accepted)
                        .setHello(hello(self)))
                .build();
    }
}
