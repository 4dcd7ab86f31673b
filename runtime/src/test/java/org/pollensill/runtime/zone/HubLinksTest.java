package org.pollensill.runtime.zone;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.IntStream;

import io.netty.channel.EventLoopGroup;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.pollensill.runtime.net.Addresses;
import org.pollensill.runtime.net.EventLoops;
import org.pollensill.runtime.peer.FleetToken;
import org.pollensill.runtime.peer.PeerHub;
import org.pollensill.runtime.peer.PeerIdentity;
import org.pollensill.zone.Share;

/**
 * Guards against a peer transport that does not deliver an agent's messages, or does not report the end of a peer's
 * process to the agent.
 */
class HubLinksTest {

    private static final int SLICES = 8;

    private final EventLoopGroup loops = EventLoops.of(2);
    private final MemoryTables tables = new MemoryTables();

    private record Process(PeerHub hub, ZoneAgent agent) {

        private long countFullShares() {
            return IntStream.range(0, SLICES)
                    .filter(slice -> agent.right(slice, System.nanoTime()).share() == Share.FULL)
                    .count();
        }
    }

    @AfterEach
    void close() {
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private static InetSocketAddress freeAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return new InetSocketAddress("127.0.0.1", socket.getLocalPort());
        }
    }

    private Process start(String host, InetSocketAddress address, InetSocketAddress peer) throws Exception {
        PeerIdentity self = new PeerIdentity("entry", "serra", "caxias", host, "1", Addresses.format(address));
        PeerHub hub = new PeerHub(loops, self, FleetToken.of("secret"));
        ZoneAgent agent = ZoneAgent.of(hub, self, List.of(peer), SLICES, tables, slice -> List.of());
        hub.setDesiredPeers(List.of(peer));
        hub.start(address);
        agent.start(loops);
        return new Process(hub, agent);
    }

    /** Waits for a condition. The time limit only stops a run that hangs. */
    private void await(BooleanSupplier condition) throws Exception {
        CompletableFuture<Void> met = new CompletableFuture<>();
        loops.scheduleAtFixedRate(
                () -> {
                    if (condition.getAsBoolean()) {
                        met.complete(null);
                    }
                },
                0,
                10,
                TimeUnit.MILLISECONDS);
        met.get(60, TimeUnit.SECONDS);
    }

    @Test
    void shouldShareSlicesAndTakeOverWhenTheOtherProcessCloses() throws Exception {
        InetSocketAddress firstAddress = freeAddress();
        InetSocketAddress secondAddress = freeAddress();
        Process first = start("e1", firstAddress, secondAddress);
        Process second = start("e2", secondAddress, firstAddress);
        await(() -> first.countFullShares() == SLICES / 2 && second.countFullShares() == SLICES / 2);
        second.hub().close();
        await(() -> first.countFullShares() == SLICES);
        first.hub().close();
    }
}
