package org.pollensill.runtime.peer;

import java.net.InetSocketAddress;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.RepeatedTest;
import org.junit.jupiter.api.Test;
import org.pollensill.runtime.net.EventLoops;
import org.pollensill.runtime.peer.wire.Envelope;
import org.pollensill.runtime.peer.wire.Heartbeat;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

/** Guards against unauthenticated peers and against a wrong failure reason of a connection attempt. */
class PeerTransportTest {

    private static final InetSocketAddress ANY_PORT = new InetSocketAddress("127.0.0.1", 0);

    private final EventLoopGroup loops = EventLoops.of(1);
    private final RecordingHandler received = new RecordingHandler();
    private final PeerTransport listener = transport("e1", "secret", received);

    @AfterEach
    void close() {
        listener.close();
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private PeerTransport transport(String host, String secret, PeerHandler handler) {
        PeerIdentity self = new PeerIdentity("entry", "serra", "caxias", host, "1", "127.0.0.1:1");
        return new PeerTransport(loops, self, FleetToken.of(secret), handler);
    }

    @Test
    void shouldExchangeMessagesInBothDirectionsWhenPeerHasSecret() throws Exception {
        RecordingHandler replies = new RecordingHandler();
        PeerLink link = transport("e2", "secret", replies)
                .connect(listener.listen(ANY_PORT))
                .get(10, TimeUnit.SECONDS);
        assertEquals("e1", link.peer().host());
        PeerLink incoming = received.links.poll(10, TimeUnit.SECONDS);
        assertEquals("e2", incoming.peer().host());
        link.send(heartbeat(7));
        incoming.send(heartbeat(8));
        assertEquals(
                7, received.messages.poll(10, TimeUnit.SECONDS).getHeartbeat().getSequence());
        assertEquals(
                8, replies.messages.poll(10, TimeUnit.SECONDS).getHeartbeat().getSequence());
    }

    @Test
    void shouldRejectPeerWithWrongSecret() throws Exception {
        PeerException failure = failure(transport("e2", "guess", new RecordingHandler()), listener.listen(ANY_PORT));
        assertEquals(PeerException.Reason.REJECTED, failure.reason());
        assertEquals(0, received.links.size());
    }

    // While the kernel closes the listener it may reset a connection, which proves nothing; it then refuses the next.
    @RepeatedTest(50)
    void shouldReportRefusedWhenNoProcessListens() throws Exception {
        InetSocketAddress address = listener.listen(ANY_PORT);
        listener.close();
        PeerTransport from = transport("e2", "secret", new RecordingHandler());
        PeerException failure = failure(from, address);
        for (int i = 0; i < 20 && failure.reason() == PeerException.Reason.UNREACHABLE; i++) {
            failure = failure(from, address);
        }
        assertEquals(PeerException.Reason.REFUSED, failure.reason());
    }

    private static PeerException failure(PeerTransport from, InetSocketAddress address) {
        ExecutionException failure = assertThrows(
                ExecutionException.class, () -> from.connect(address).get(10, TimeUnit.SECONDS));
        return (PeerException) failure.getCause();
    }

    private static Envelope heartbeat(long sequence) {
        return Envelope.newBuilder()
                .setHeartbeat(Heartbeat.newBuilder().setSequence(sequence))
                .build();
    }

    private static final class RecordingHandler implements PeerHandler {

        private final BlockingQueue<PeerLink> links = new LinkedBlockingQueue<>();
        private final BlockingQueue<Envelope> messages = new LinkedBlockingQueue<>();

        @Override
        public void connected(PeerLink link) {
            links.add(link);
        }

        @Override
        public void received(PeerLink link, Envelope envelope) {
            messages.add(envelope);
        }

        @Override
        public void disconnected(PeerLink link) {}
    }
}
