package org.pollensill.dispatch;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollensill.job.PlacementRule;
import org.pollensill.leader.LeaderRow;
import org.pollensill.leader.LeaseBounds;
import org.pollensill.runner.OrderOutcome;
import org.pollensill.runner.RenewalAnswer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against a lease that is granted although a successor may already count on its end. */
class LeaseBoundsRecorderTest extends DispatcherFixture {

    private static final String JOB = "aaaaaaaaaaaaaaaa";

    private RecordedOrders.Start start;

    @BeforeEach
    void startTask() {
        dispatcher.addJob(
                Samples.job(JOB, Samples.longRunning(1, Samples.NEED, PlacementRule.ANY)), Optional.empty(), T0);
        becomeLeader("r1");
        start = startOne(T0 + 20);
        store(T0 + 30);
    }

    private LeaseBounds store(long nowMs) {
        LeaseBounds bounds = dispatcher.leaseBounds().bounds(nowMs);
        dispatcher.leaseBounds().stored(bounds);
        return bounds;
    }

    private RecordedOrders.Renewal silence(long nowMs) {
        RecordedOrders.Renewal renewal = nextRenewal(nowMs);
        dispatcher.onRenewal(
                "r1", renewal.sequence(), new RenewalAnswer(OrderOutcome.UNANSWERED, Optional.empty()), nowMs + 10);
        return renewal;
    }

    private void answer(long nowMs) {
        report(nextRenewal(nowMs), nowMs, List.of(running(start, 100)), List.of());
    }

    @Nested
    class Bounds {

        @Test
        void shouldNotNameARunnerThatAnswers() {
            LeaseBounds bounds = store(T0 + 40);
            assertEquals(Set.of(), bounds.runners().keySet());
            assertTrue(bounds.ownMs() >= DispatchTiming.UNCONFIRMED_RENEWAL_LIMIT_MS);
        }

        @Test
        void shouldNameASilentRunnerWithTheEndOfItsLease() {
            long untilMs = silence(T0 + 100).order().leaseEndMs().orElseThrow() - RUNNER_CLOCK_MS + T0;
            LeaseBounds bounds = store(T0 + 200);
            long remainingMs = bounds.runners().get("r1").remainingMs();
            assertTrue(remainingMs >= untilMs - T0 - 200, remainingMs + " ms");
            assertTrue(remainingMs <= DispatchTiming.maxLocalLeaseMs(DispatchTiming.LEASE_MS), remainingMs + " ms");
        }

        @Test
        void shouldBeThoseOfFormerLeadersUntilARunnerAnswers() {
            Dispatcher successor = Dispatcher.takeOver(
                    8, InheritedLeases.unrecorded(T0), "progress/", new RecordedOrders(), new CountingListener());
            successor.startOrders();
            assertEquals(0, successor.leaseBounds().bounds(T0).ownMs());
            assertTrue(successor.leaseBounds().bounds(T0).formerMs() >= DispatchTiming.LEASE_MS);
        }

        // The store rejects a row of more than 64 KB, and with it each commit of the leader.
        @Test
        void shouldFitIntoARowOfTheStoreWithTheLongestIdentities() {
            Map<String, LeaseBounds.RunnerBound> runners = new LinkedHashMap<>();
            for (int i = 0; i < LeaseBoundsRecorder.MAX_NAMED_RUNNERS; i++) {
                String id = "\"".repeat(197) + String.format("%03d", i);
                runners.put(id, new LeaseBounds.RunnerBound(1_796_532_194_246L, 18_300));
            }
            LeaderRow row = new LeaderRow(
                    "a",
                    "a-1",
                    "",
                    1,
                    1,
                    false,
                    Map.of(),
                    Optional.of(new LeaseBounds(18_300, 8_300, runners)),
                    false,
                    Optional.empty(),
                    Optional.empty());
            int bytes = row.encode().length();
            assertTrue(bytes < 50_000, bytes + " bytes");
        }
    }

    @Nested
    class NamedRunner {

        @Test
        void shouldGetNoLeaseBeforeACommitWithoutItsNameIsStored() {
            silence(T0 + 100);
            store(T0 + 200);
            answer(T0 + 400);
            assertTrue(dispatcher.leaseBounds().awaitsCommit());
            dispatcher.tick(T0 + 450, T0 + 450, true);
            assertEquals(List.of(), orders.renewals);
            store(T0 + 460);
            assertFalse(dispatcher.leaseBounds().awaitsCommit());
            assertTrue(nextRenewal(T0 + 500).order().leaseEndMs().isPresent());
        }

        // The commit may still take effect, although it is not known to be stored.
        @Test
        void shouldGetNoLeaseWhileTheCommitWithItsNameIsInFlight() {
            silence(T0 + 100);
            LeaseBounds inFlight = dispatcher.leaseBounds().bounds(T0 + 200);
            answer(T0 + 400);
            dispatcher.tick(T0 + 450, T0 + 450, true);
            assertEquals(List.of(), orders.renewals);
            dispatcher.leaseBounds().stored(inFlight);
            dispatcher.tick(T0 + 500, T0 + 500, true);
            assertEquals(List.of(), orders.renewals);
        }

        @Test
        void shouldGetNoLeaseAtTheReleaseOfTheLeaderLease() {
            silence(T0 + 100);
            store(T0 + 200);
            answer(T0 + 400);
            dispatcher.renewLeases(T0 + 410);
            assertEquals(List.of(), orders.renewals);
        }
    }

    /** The commits of the leader are not known to be stored any more. */
    @Nested
    class OldCommit {

        @Test
        void shouldLimitTheLeasesThatAreGranted() {
            orders.maxLeaseMs = 3_000;
            RecordedOrders.Renewal renewal = nextRenewal(T0 + 100);
            long untilMs = renewal.order().leaseEndMs().orElseThrow();
            assertTrue(untilMs <= RUNNER_CLOCK_MS + 100 + 3_000, untilMs + " ms");
            assertEquals(DispatchTiming.SHORT_REPORT_WAIT_MS, renewal.order().waitMs());
        }

        @Test
        void shouldPermitNoLeaseOnceItsLimitHasPassed() {
            orders.maxLeaseMs = 0;
            dispatcher.tick(T0 + 100, T0 + 100, true);
            assertEquals(List.of(), orders.renewals);
        }
    }
}
