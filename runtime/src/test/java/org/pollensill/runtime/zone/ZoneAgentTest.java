package org.pollensill.runtime.zone;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;

import com.google.protobuf.InvalidProtocolBufferException;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollensill.runtime.admin.Operator;
import org.pollensill.runtime.http.Answer;
import org.pollensill.runtime.http.Request;
import org.pollensill.runtime.http.Responder;
import org.pollensill.runtime.peer.wire.Envelope;
import org.pollensill.zone.MemberId;
import org.pollensill.zone.RunningWork;
import org.pollensill.zone.Share;
import org.pollensill.zone.ZoneConfig;
import org.pollensill.zone.ZoneTiming;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against errors in translating membership decisions into messages, reads and commits, and back. */
class ZoneAgentTest {

    private static final int SLICES = 8;
    private static final long MS = ZoneTiming.NS_PER_MS;

    private final MemoryTables tables = new MemoryTables();
    private final Map<String, ZoneAgent> agents = new HashMap<>();
    private final Queue<Runnable> deliveries = new ArrayDeque<>();
    private final Set<String> frozen = new HashSet<>();
    private long nowNs = 1_000 * MS;

    private ZoneAgent start(String name) {
        MemberId id = new MemberId(name, "127.0.0.1:" + (9000 + name.charAt(0)), "1");
        ZoneConfig config = new ZoneConfig(id, "view/entry/caxias", SLICES, List.of(), ZoneTiming.standard());
        ZoneAgent agent = new ZoneAgent(
                config,
                slice -> List.of(new RunningWork("u" + slice, "seam-check", 1, 20)),
                tables,
                (address, envelope) -> send(id, address, envelope),
                () -> nowNs);
        agents.put(id.address(), agent);
        return agent;
    }

    /** Delivers a message in serialized form. The pair of addresses identifies the sender's connection. */
    private void send(MemberId from, String address, Envelope envelope) {
        String link = from.address() + ">" + address;
        deliveries.add(() -> {
            ZoneAgent receiver = agents.get(address);
            ZoneAgent sender = agents.get(from.address());
            if (sender == null) {
                return;
            }
            if (frozen.contains(address)) {
                return;
            }
            if (receiver == null) {
                sender.onConnectionRefused(address, nowNs);
                return;
            }
            MemberId to =
                    new MemberId(String.valueOf((char) (Integer.parseInt(address.substring(10)) - 9000)), address, "1");
            receiver.onMessage(
                    link,
                    from,
                    copy(envelope),
                    answer -> deliveries.add(() -> sender.onMessage(link, to, copy(answer), unexpected -> {})));
        });
    }

    private static Envelope copy(Envelope envelope) {
        try {
            return Envelope.parseFrom(envelope.toByteArray());
        } catch (InvalidProtocolBufferException e) {
            throw new AssertionError(e);
        }
    }

    private void run(long durationMs) {
        for (long passedMs = 0; passedMs < durationMs; passedMs += 50) {
            nowNs += 50 * MS;
            List.copyOf(agents.entrySet()).stream()
                    .filter(entry -> !frozen.contains(entry.getKey()))
                    .forEach(entry -> entry.getValue().tick());
            while (!deliveries.isEmpty()) {
                deliveries.poll().run();
            }
        }
    }

    private long countFullShares(ZoneAgent agent) {
        return IntStream.range(0, SLICES)
                .filter(slice -> agent.right(slice, nowNs).share() == Share.FULL)
                .count();
    }

    @Nested
    class Membership {

        @Test
        void shouldDivideTheSlicesEvenlyAndTakeOverWhenAProcessIsGone() {
            ZoneAgent first = start("a");
            ZoneAgent second = start("b");
            run(3_000);
            assertEquals(4, countFullShares(first));
            assertEquals(4, countFullShares(second));
            assertEquals(first.view(), second.view());
            assertEquals(9_000 + 'b', first.peers().get(0).getPort());
            agents.remove("127.0.0.1:" + (9000 + 'b'));
            run(1_000);
            assertEquals(SLICES, countFullShares(first));
        }

        @Test
        void shouldListRunningRequestsWhenItHandsOver() {
            ZoneAgent first = start("a");
            ZoneAgent second = start("b");
            run(3_000);
            int moved = IntStream.range(0, SLICES)
                    .filter(slice -> first.right(slice, nowNs).isOwner())
                    .findFirst()
                    .orElseThrow();
            CompletableFuture<Void> left = first.leave();
            assertFalse(left.isDone());
            run(3_000);
            assertTrue(left.isDone());
            assertEquals(SLICES, countFullShares(second));
            assertEquals(
                    List.of(new RunningWork("u" + moved, "seam-check", 1, 20)),
                    second.reservation(moved).running());
        }
    }

    @Nested
    class Store {

        @Test
        void shouldConfirmAllMembersByTheReadsOfOne() {
            ZoneAgent first = start("a");
            ZoneAgent second = start("b");
            run(3_000);
            int before = tables.reads;
            run(10_000);
            assertEquals(SLICES, countFullShares(first) + countFullShares(second));
            // Two reads a second for the zone; if relays were lost, both members would read.
            assertTrue(tables.reads - before <= 21, () -> "reads: " + (tables.reads - before));
        }

        @Test
        void shouldKeepFullSharesByPromisesWhileTheStoreIsUnavailable() {
            ZoneAgent first = start("a");
            ZoneAgent second = start("b");
            run(3_000);
            tables.unavailable = true;
            run(20_000);
            assertEquals(SLICES, countFullShares(first) + countFullShares(second));
        }

        @Test
        void shouldReadBackAViewWhenTheAnswerToItsCommitIsLost() {
            tables.losesNextCommitAnswer = true;
            ZoneAgent first = start("a");
            run(2_000);
            assertEquals(SLICES, countFullShares(first));
            assertEquals(1, first.view().orElseThrow().epoch());
        }
    }

    @Nested
    class Operators {

        private int declareGone(ZoneAgent agent, String host) {
            Request request = Request.postJson("/hosts/" + host + "/gone", new byte[0]);
            List<Answer> answers = new ArrayList<>();
            new ZoneAdmin(agent).declareGone(Operator.ANONYMOUS, request, new Responder() {
                @Override
                public void answer(Answer answer) {
                    answers.add(answer);
                }

                @Override
                public void onClose(Runnable action) {
                    throw new AssertionError("not expected");
                }
            });
            return answers.get(0).status();
        }

        @Test
        void shouldRestoreFullSharesWhenAFrozenHostIsDeclaredGone() {
            ZoneAgent first = start("a");
            start("b");
            run(3_000);
            frozen.add("127.0.0.1:" + (9000 + 'b'));
            run(6_000);
            assertEquals(4, countFullShares(first));
            assertEquals(404, declareGone(first, "c"));
            assertEquals(200, declareGone(first, "b"));
            assertEquals(SLICES, countFullShares(first));
            String status = new String(new ZoneAdmin(first).status().body(), StandardCharsets.UTF_8);
            assertTrue(status.contains("\"sharesHere\":{\"full\":8}"), status);
        }
    }
}
