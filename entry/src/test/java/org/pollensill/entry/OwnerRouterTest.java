package org.pollensill.entry;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.pollensill.contract.Deadline;
import org.pollensill.contract.PoolLoad;
import org.pollensill.contract.Refusal;
import org.pollensill.contract.Refusal.Reason;
import org.pollensill.contract.RequestDescription;
import org.pollensill.runtime.boot.BootFile;
import org.pollensill.runtime.http.Answer;
import org.pollensill.runtime.http.ClientLimits;
import org.pollensill.runtime.http.HttpClient;
import org.pollensill.runtime.http.Request;
import org.pollensill.runtime.net.EventLoops;
import org.pollensill.runtime.peer.PeerIdentity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against reporting a lost forward as not run, running a request twice, and retries under overload. */
class OwnerRouterTest {

    private static final InetSocketAddress ADDRESS = new InetSocketAddress("127.0.0.1", 1);
    private static final BootFile BOOT = new BootFile(
            "e1",
            "serra",
            "caxias",
            Optional.of(ADDRESS),
            ADDRESS,
            ADDRESS,
            ADDRESS,
            ADDRESS,
            ADDRESS,
            List.of(),
            "secret",
            Optional.<Path>empty(),
            Optional.empty(),
            Optional.empty(),
            "json",
            "info");

    private final EventLoopGroup loops = EventLoops.of(1);
    private final FakeTransport transport = new FakeTransport();
    private final PeerLoads loads = new PeerLoads();
    private final RecordingReplyHandler replyHandler = new RecordingReplyHandler();
    private final OwnerRouter router = router();

    private OwnerRouter router() {
        HttpClient client = HttpClient.of(loops, ClientLimits.PLATFORM);
        LocalPools pools = new LocalPools(client, client, new NoUpstreamOwned(), () -> 0, new RequestTraces(10));
        OwnerCandidates candidates = new OwnerCandidates(
                BOOT, pools, loads, new RegionLinks("serra", () -> 1), Optional::empty, new Random(1));
        return new OwnerRouter(pools, transport, candidates, () -> 0);
    }

    @AfterEach
    void close() {
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private void addPeer(int number, String zone) {
        InetSocketAddress address = new InetSocketAddress("127.0.0.1", 100 + number);
        PeerIdentity peer = new PeerIdentity("entry", "serra", zone, "p" + number, "1", "127.0.0.1:" + (100 + number));
        loads.update(address, peer, new PoolLoad("desk", 8, 8, List.of()), 0);
    }

    private void route(boolean idempotent) {
        RequestDescription description =
                new RequestDescription("r1", "match", "c", idempotent, Deadline.after(0, 1_000));
        router.route(
                new CallerRequest("desk", description, Optional.empty(), Request.get("/desk/match/1")), replyHandler);
    }

    @Nested
    class LostForwards {

        @Test
        void shouldReportUnknownWhenNonIdempotentRequestIsLost() {
            addPeer(1, "caxias");
            addPeer(2, "caxias");
            route(false);
            transport.sentForwards.get(0).onLost().run();
            assertEquals(1, transport.sentForwards.size());
            assertEquals(List.of(Reason.ANSWER_LOST), replyHandler.reasons);
        }

        @Test
        void shouldTryAnotherOwnerWhenIdempotentRequestIsLost() {
            addPeer(1, "caxias");
            addPeer(2, "caxias");
            route(true);
            transport.sentForwards.get(0).onLost().run();
            transport.sentForwards.get(1).replyHandler().answered(Answer.text(200, "whole"));
            assertEquals(1, replyHandler.answers);
        }

        /** The first attempt may still run, so a later refusal does not prove that the request was not run. */
        @ParameterizedTest
        @CsvSource({"QUEUE_FULL", "NO_UPSTREAM", "DEADLINE_PASSED", "DRAINING"})
        void shouldNotReportNotRunWhenLaterOwnerRefuses(Reason reason) {
            addPeer(1, "caxias");
            addPeer(2, "caxias");
            route(true);
            transport.sentForwards.get(0).onLost().run();
            transport.sentForwards.get(1).replyHandler().refused(new Refusal(reason, 0));
            assertEquals(List.of(Reason.ANSWER_LOST), replyHandler.reasons);
        }
    }

    @Nested
    class Refusals {

        @ParameterizedTest
        @CsvSource({
            "NO_UPSTREAM, 3", "DRAINING, 3", "UPSTREAM_REFUSED, 3", "NOT_CONNECTED, 3",
            "QUEUE_FULL, 1", "DEADLINE_TOO_SHORT, 1", "ANSWER_LATE, 1", "ANSWER_LOST, 1"
        })
        void shouldTryOtherOwnersOnlyWhenTheRefusalIsNotOverload(Reason reason, int owners) {
            for (int number = 1; number <= 5; number++) {
                addPeer(number, "caxias");
            }
            transport.refusalForAll = Optional.of(reason);
            route(true);
            assertEquals(owners, transport.sentForwards.size());
            assertEquals(List.of(reason), replyHandler.reasons);
        }

        @Test
        void shouldReportNotRunWhenNoOwnerIsKnown() {
            route(true);
            assertEquals(List.of(Reason.NO_UPSTREAM), replyHandler.reasons);
            assertTrue(replyHandler.reasons.get(0).notRun());
        }

        @Test
        void shouldUseOtherZoneOfRegionWhenOwnZoneHasNoOwner() {
            addPeer(1, "vacaria");
            route(true);
            assertEquals(101, transport.sentForwards.get(0).owner().getPort());
        }
    }

    private record SentForward(InetSocketAddress owner, ReplyHandler replyHandler, Runnable onLost) {}

    private static final class FakeTransport implements OwnerTransport {

        private final List<SentForward> sentForwards = new ArrayList<>();
        private Optional<Reason> refusalForAll = Optional.empty();

        @Override
        public boolean forward(
                CallerRequest request,
                int attempt,
                InetSocketAddress owner,
                ReplyHandler replyHandler,
                Runnable onLost) {
            sentForwards.add(new SentForward(owner, replyHandler, onLost));
            refusalForAll.ifPresent(reason -> replyHandler.refused(new Refusal(reason, 0)));
            return true;
        }

        @Override
        public void cancel(String service, String requestId, int attempt) {}
    }

    private static final class RecordingReplyHandler implements ReplyHandler {

        private final List<Reason> reasons = new ArrayList<>();
        private int answers;

        @Override
        public void answered(Answer answer) {
            answers++;
        }

        @Override
        public void refused(Refusal refusal) {
            reasons.add(refusal.reason());
        }
    }

    private static final class NoUpstreamOwned implements UpstreamOwnership {

        @Override
        public int slices() {
            return 1;
        }

        @Override
        public int slice(String upstream) {
            return 0;
        }

        @Override
        public SliceGrant grant(int slice, long nowNs) {
            return SliceGrant.NONE;
        }
    }
}
