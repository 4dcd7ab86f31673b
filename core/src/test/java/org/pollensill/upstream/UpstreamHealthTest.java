package org.pollensill.upstream;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/**
 * Guards against requests to a failing or leaving upstream, and against ejecting so many upstreams that the others are
 * overloaded.
 */
class UpstreamHealthTest {

    private static final long S = 1_000_000_000L;

    private final SlotTable table = SlotTable.of(List.of(new KindLimits(8, S)));
    private final UpstreamHealth health = new UpstreamHealth(table, EjectionPolicy.standard(), 0);
    private final List<Upstream> upstreams = new ArrayList<>();

    UpstreamHealthTest() {
        for (int i = 0; i < 10; i++) {
            Upstream upstream = table.add("u" + i, 8, 64);
            health.added(upstream, 0);
            upstreams.add(upstream);
        }
        health.tick(0);
    }

    private void recordFailures(Upstream upstream, int times) {
        for (int i = 0; i < times; i++) {
            health.failed(upstream, 0);
        }
    }

    private void recordWindow(Upstream slow, double ratio) {
        for (Upstream upstream : upstreams) {
            for (int i = 0; i < 40; i++) {
                health.succeeded(upstream, upstream == slow ? ratio : 1);
            }
        }
    }

    @Nested
    class Ejection {

        @Test
        void shouldEjectAfterFiveFailuresInARow() {
            Upstream upstream = upstreams.get(0);
            recordFailures(upstream, 4);
            health.succeeded(upstream, 1);
            recordFailures(upstream, 4);
            assertEquals(UpstreamState.LIVE, upstream.state());
            recordFailures(upstream, 1);
            assertEquals(UpstreamState.EJECTED, upstream.state());
            assertEquals(72, table.free());
        }

        @Test
        void shouldEjectAtMostTwentyPercent() {
            upstreams.forEach(upstream -> recordFailures(upstream, 9));
            assertEquals(2, health.ejected());
            assertEquals(64, table.free());
        }

        @Test
        void shouldEjectASlowUpstreamAfterTwoWindowsInARow() {
            Upstream slow = upstreams.get(3);
            recordWindow(slow, 4);
            health.tick(2 * S);
            recordWindow(slow, 1);
            health.tick(4 * S);
            recordWindow(slow, 4);
            health.tick(6 * S);
            assertEquals(UpstreamState.LIVE, slow.state());
            recordWindow(slow, 4);
            health.tick(8 * S);
            assertEquals(UpstreamState.EJECTED, slow.state());
            assertEquals(1, health.ejected());
        }

        @Test
        void shouldEjectNoneWhenAllAreSlow() {
            for (int i = 1; i < 6; i++) {
                upstreams.forEach(upstream -> {
                    for (int k = 0; k < 40; k++) {
                        health.succeeded(upstream, 9);
                    }
                });
                health.tick(2 * i * S);
            }
            assertEquals(0, health.ejected());
        }
    }

    @Nested
    class Return {

        @Test
        void shouldReturnWithOneSlotAndDoubleEachSecond() {
            Upstream upstream = upstreams.get(0);
            recordFailures(upstream, 5);
            health.probed(upstream, false, false, S);
            assertEquals(0, upstream.free());
            health.probed(upstream, true, false, 2 * S);
            List<Integer> slots = new ArrayList<>();
            for (int second = 2; second <= 6; second++) {
                health.tick(second * S);
                slots.add(upstream.free());
            }
            assertEquals(List.of(1, 2, 4, 8, 8), slots);
            assertEquals(UpstreamState.LIVE, upstream.state());
            assertEquals(0, health.ejected());
        }

        @Test
        void shouldEjectAgainAtTheFirstFailureAfterAGoodProbe() {
            Upstream upstream = upstreams.get(0);
            recordFailures(upstream, 5);
            health.probed(upstream, true, false, S);
            recordFailures(upstream, 1);
            assertEquals(UpstreamState.EJECTED, upstream.state());
        }

        @Test
        void shouldProbeEachUpstreamOnceASecondAndOneAtATime() {
            assertEquals(0, health.tick(S).size());
            upstreams.forEach(upstream -> health.probed(upstream, true, false, S));
            assertEquals(10, health.tick(2 * S).size());
            assertEquals(0, health.tick(2 * S + 1).size());
        }
    }

    @Nested
    class Leaving {

        @Test
        void shouldStopUsingAnUpstreamAtEachLeavingSignal() {
            health.hostStateChanged(upstreams.get(0), false, S);
            health.leaving(upstreams.get(1), S);
            health.probed(upstreams.get(2), true, true, S);
            for (int i = 0; i < 3; i++) {
                assertEquals(0, upstreams.get(i).free());
            }
            assertEquals(56, table.free());
        }

        @Test
        void shouldStayLeavingWhenTheHostListLagsBehindTheLeavingSignal() {
            Upstream upstream = upstreams.get(0);
            health.leaving(upstream, S);
            health.hostStateChanged(upstream, true, 2 * S);
            assertEquals(UpstreamState.LEAVING, upstream.state());
            health.hostStateChanged(upstream, false, 3 * S);
            health.hostStateChanged(upstream, true, 4 * S);
            assertEquals(UpstreamState.SLOW_START, upstream.state());
        }

        @Test
        void shouldProbeALeavingUpstreamWhenTheHostListKeepsReportingItLive() {
            Upstream upstream = upstreams.get(0);
            health.leaving(upstream, S);
            health.hostStateChanged(upstream, true, 31 * S);
            assertEquals(UpstreamState.EJECTED, upstream.state());
            health.probed(upstream, true, true, 32 * S);
            assertEquals(UpstreamState.LEAVING, upstream.state());
            assertEquals(0, health.ejected());
        }

        @Test
        void shouldNotCountEjectedUpstreamsThatLeaveOrAreRemoved() {
            recordFailures(upstreams.get(0), 5);
            recordFailures(upstreams.get(1), 5);
            health.leaving(upstreams.get(0), S);
            health.removed(upstreams.get(1));
            assertEquals(0, health.ejected());
            assertEquals(9, table.owned());
        }
    }
}
