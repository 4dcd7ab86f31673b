package org.pollensill.runtime.settings;

import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import io.netty.channel.EventLoopGroup;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.pollensill.runtime.net.Addresses;
import org.pollensill.runtime.net.EventLoops;
import org.pollensill.runtime.peer.FleetToken;
import org.pollensill.runtime.peer.PeerHub;
import org.pollensill.runtime.peer.PeerIdentity;
import org.pollensill.settings.Edit;
import org.pollensill.settings.SettingsChange;
import org.pollensill.settings.SettingsDelta;
import org.pollensill.settings.SettingsPath;
import org.pollensill.settings.SettingsUnavailableException;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against processes that keep outdated settings although a reader or a peer has a later revision. */
class SettingsAgentTest {

    private static final long WAIT_NS = 30_000_000_000L;

    private final EventLoopGroup loops = EventLoops.of(2);
    private final MemoryTables store = new MemoryTables();
    private final List<Process> processes = new ArrayList<>();

    private record Process(PeerHub hub, SettingsAgent agent, InetSocketAddress address) {}

    private Process process(String zone, boolean reader, MemoryTables tables) throws Exception {
        InetSocketAddress address;
        try (ServerSocket free = new ServerSocket(0, 1, new InetSocketAddress("127.0.0.1", 0).getAddress())) {
            address = new InetSocketAddress("127.0.0.1", free.getLocalPort());
        }
        PeerIdentity self =
                new PeerIdentity("entry", "serra", zone, "e" + processes.size(), "1", Addresses.format(address));
        PeerHub hub = new PeerHub(loops, self, FleetToken.of("secret"));
        SettingsAgent agent =
                new SettingsAgent(loops, hub, self, tables, tables, () -> reader, System::currentTimeMillis);
        Process process = new Process(hub, agent, address);
        processes.add(process);
        hub.start(address);
        for (Process each : processes) {
            each.hub()
                    .setDesiredPeers(processes.stream()
                            .map(Process::address)
                            .filter(other -> !other.equals(each.address()))
                            .toList());
        }
        agent.start();
        return process;
    }

    @AfterEach
    void close() {
        processes.forEach(process -> {
            process.agent().stop();
            process.hub().close();
        });
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private static SettingsDelta set(Process by, String id, long base, String json) throws Exception {
        SettingsPath path = SettingsPath.parse("defaults.batch.candidates");
        SettingsChange change = new SettingsChange(id, "ana", "test", base, List.of(Edit.set(path, json)));
        return by.agent().submit(change).get(30, TimeUnit.SECONDS);
    }

    private static void await(BooleanSupplier condition, String expectation) throws InterruptedException {
        long startNs = System.nanoTime();
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() - startNs < WAIT_NS, "not within 30 s: " + expectation);
            Thread.sleep(10);
        }
    }

    @Test
    void shouldReplicateThroughPeersWhenTheStoreIsUnreachable() throws Exception {
        MemoryTables unreachable = new MemoryTables();
        unreachable.unavailable = true;
        Process reader = process("caxias", true, store);
        Process withoutStore = process("caxias", false, unreachable);
        Process otherZone = process("vacaria", true, unreachable);
        await(() -> reader.agent().notReadyReason().isEmpty(), "reader is ready");
        set(reader, "a", 0, "3");
        await(() -> withoutStore.agent().revision() == 1 && otherZone.agent().revision() == 1, "revision 1 everywhere");
        set(reader, "b", 1, "4");
        await(() -> withoutStore.agent().revision() == 2 && otherZone.agent().revision() == 2, "revision 2 everywhere");
        assertEquals(4, otherZone.agent().effective().orElseThrow().batch().candidates());
        await(
                () -> reader.agent().peerRevisions().stream().allMatch(peer -> peer.revision() == 2)
                        && reader.agent().peerRevisions().size() == 2,
                "the peers' acknowledgements");
    }

    @Test
    void shouldStartFromAPeerAndRefuseChangesWhileTheStoreIsUnavailable() throws Exception {
        Process first = process("caxias", true, store);
        await(() -> first.agent().notReadyReason().isEmpty(), "first process is ready");
        set(first, "a", 0, "3");
        store.unavailable = true;
        Process second = process("caxias", false, store);
        await(() -> second.agent().notReadyReason().isEmpty() && second.agent().revision() == 1, "start from the peer");
        ExecutionException refused = assertThrows(ExecutionException.class, () -> set(second, "b", 1, "4"));
        assertInstanceOf(SettingsUnavailableException.class, refused.getCause());
        store.unavailable = false;
        assertEquals(2, set(second, "b", 1, "4").revision());
        await(() -> first.agent().revision() == 2, "the change arrives after the outage");
    }

    @Test
    void shouldNotBeReadyWhenNeitherStoreNorPeerAnswers() throws Exception {
        store.unavailable = true;
        Process isolated = process("caxias", true, store);
        assertEquals(
                "no settings: neither the store nor a peer has answered",
                isolated.agent().notReadyReason().orElseThrow());
        store.unavailable = false;
        await(() -> isolated.agent().notReadyReason().isEmpty(), "ready after the outage");
        assertEquals(8, isolated.agent().effective().orElseThrow().batch().candidates());
    }
}
