package org.pollensill.dispatch;

import java.util.Map;
import java.util.Optional;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollensill.leader.LeaseBounds;
import org.pollensill.leader.LeaseBounds.RunnerBound;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against waits for leases that begin anew with a takeover, and against waits that end too early. */
class InheritedLeasesTest {

    private static final long SEEN_MS = 50_000;
    private static final long NOW_MS = 52_500;
    private static final long INCARNATION_MS = 7;
    private static final long LEASE_MS = DispatchTiming.maxLocalLeaseMs(DispatchTiming.LEASE_MS);
    private static final long LONGEST_LEASE_MS = DispatchTiming.maxLocalLeaseMs(DispatchTiming.MAX_LEASE_MS);

    private static InheritedLeases leases(LeaseBounds bounds, boolean stopped) {
        return InheritedLeases.of(Optional.of(bounds), SEEN_MS, stopped, NOW_MS);
    }

    private static LeaseBounds named(String runner, long remainingMs) {
        return new LeaseBounds(300, 8_200, Map.of(runner, new RunnerBound(INCARNATION_MS, remainingMs)));
    }

    @Nested
    class OfASilentLeader {

        @Test
        void shouldExpireAfterItsBoundCountedFromTheFirstSightOfItsCommit() {
            assertEquals(SEEN_MS + 8_200, leases(named("r1", 1_000), false).expiredAtMs("r2"));
        }

        @Test
        void shouldExpireOnANamedRunnerAfterThatRunnersBound() {
            assertEquals(SEEN_MS + 1_000, leases(named("r1", 1_000), false).expiredAtMs("r1"));
        }

        @Test
        void shouldLastAsLongAsThoseOfTheLeadersBeforeIt() {
            LeaseBounds bounds = new LeaseBounds(4_000, 0, Map.of());
            assertEquals(SEEN_MS + 4_000, leases(bounds, false).expiredAtMs("r1"));
        }

        @Test
        void shouldLastTheLongestTimeAfterTheTakeoverIfNoBoundsAreStored() {
            InheritedLeases unknown = InheritedLeases.of(Optional.empty(), SEEN_MS, false, NOW_MS);
            long expectedMs = NOW_MS + DispatchTiming.UNCONFIRMED_RENEWAL_LIMIT_MS + LEASE_MS;
            assertEquals(expectedMs, unknown.expiredAtMs("r1"));
        }
    }

    @Nested
    class OfAStoppedLeader {

        @Test
        void shouldExpireOneLeaseAfterItsEndIfThatComesFirst() {
            assertEquals(NOW_MS + LEASE_MS, leases(named("r1", 1_000), true).expiredAtMs("r2"));
            InheritedLeases late = InheritedLeases.of(Optional.of(named("r1", 0)), SEEN_MS, true, SEEN_MS + 8_000);
            assertEquals(SEEN_MS + 8_200, late.expiredAtMs("r2"));
        }

        // The leaders before it may not have stopped.
        @Test
        void shouldNotShortenTheLeasesOfTheLeadersBeforeIt() {
            LeaseBounds bounds = new LeaseBounds(9_000, 0, Map.of());
            assertEquals(SEEN_MS + 9_000, leases(bounds, true).expiredAtMs("r1"));
        }
    }

    @Nested
    class OnAnotherIncarnation {

        @Test
        void shouldLastTheLongestTimeAfterTheLastOrder() {
            long ordersEndMs = SEEN_MS + DispatchTiming.UNCONFIRMED_RENEWAL_LIMIT_MS;
            assertEquals(
                    ordersEndMs + LONGEST_LEASE_MS,
                    leases(named("r1", 1_000), false).expiredInAnyIncarnationAtMs("r2", INCARNATION_MS));
        }

        @Test
        void shouldExpireAfterTheBoundOfANamedRunnerIfThatCoversTheIncarnation() {
            InheritedLeases leases = leases(named("r1", 1_000), false);
            assertEquals(SEEN_MS + 1_000, leases.expiredInAnyIncarnationAtMs("r1", INCARNATION_MS));
            assertEquals(
                    SEEN_MS + DispatchTiming.UNCONFIRMED_RENEWAL_LIMIT_MS + LONGEST_LEASE_MS,
                    leases.expiredInAnyIncarnationAtMs("r1", INCARNATION_MS + 1));
        }
    }

    @Nested
    class HandedOn {

        @Test
        void shouldKeepTheirEndOverAChainOfLeaders() {
            InheritedLeases first = leases(named("r1", 6_000), false);
            InheritedLeases second =
                    InheritedLeases.of(Optional.of(first.remaining(NOW_MS)), NOW_MS, false, NOW_MS + 2_500);
            InheritedLeases third = InheritedLeases.of(
                    Optional.of(second.remaining(NOW_MS + 2_500)), NOW_MS + 2_500, true, NOW_MS + 5_000);
            assertEquals(first.expiredAtMs("r1"), third.expiredAtMs("r1"));
            assertEquals(first.expiredAtMs("r2"), third.expiredAtMs("r2"));
        }

        @Test
        void shouldNameRunnersWhoseLeasesHaveExpired() {
            LeaseBounds remaining = leases(named("r1", 0), false).remaining(NOW_MS);
            assertEquals(0, remaining.runners().get("r1").remainingMs());
            assertTrue(remaining.formerMs() > 0);
        }
    }
}
