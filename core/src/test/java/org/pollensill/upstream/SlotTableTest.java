package org.pollensill.upstream;

import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against exceeding the request and connection limits of an upstream. */
class SlotTableTest {

    private static final int SHORT = 0;
    private static final int LONG = 1;

    private final SlotTable table = SlotTable.of(List.of(new KindLimits(8, 100), new KindLimits(3, 1000)));
    private final Upstream upstream = table.add("u1", 8, 64);

    private int takeAll(int kind) {
        int taken = 0;
        while (table.take(upstream, kind, 0).isPresent()) {
            taken++;
        }
        return taken;
    }

    @Nested
    class Limits {

        @ParameterizedTest
        @CsvSource({
            "FULL, 0, 0, 8, 3",
            "FULL, 5, 0, 3, 3",
            "FULL, 8, 3, 0, 0",
            "FULL, 2, 3, 3, 0",
            "HALF, 0, 0, 4, 1",
            "HALF, 2, 3, 0, 0",
            "NONE, 0, 0, 0, 0",
        })
        void shouldGrantTheSlotsThatTheAllowancePermits(
                SlotAllowance allowance, int reservedShort, int reservedLong, int shorts, int longs) {
            table.reserve(upstream, SHORT, reservedShort, 50);
            table.reserve(upstream, LONG, reservedLong, 50);
            table.setAllowance(upstream, allowance);
            assertEquals(shorts, table.free(SHORT));
            assertEquals(longs, table.free(LONG));
            assertEquals(longs, takeAll(LONG));
            assertEquals(shorts - longs, takeAll(SHORT));
        }

        @Test
        void shouldGrantNoSlotWhenTheAllowanceShrinksBelowTheUsedSlots() {
            Slot slot = table.take(upstream, SHORT, 0).orElseThrow();
            takeAll(SHORT);
            table.setAllowance(upstream, SlotAllowance.HALF);
            table.release(slot);
            assertEquals(7, upstream.used());
            assertTrue(table.take(upstream, SHORT, 0).isEmpty());
        }

        @Test
        void shouldNotBeWithinTheAllowanceWhenTheKindExceedsItsPart() {
            Slot first = table.take(upstream, LONG, 0).orElseThrow();
            assertTrue(table.isWithin(first, SlotAllowance.HALF));
            Slot second = table.take(upstream, LONG, 0).orElseThrow();
            assertFalse(table.isWithin(second, SlotAllowance.HALF));
            assertTrue(table.isWithin(second, SlotAllowance.FULL));
            assertFalse(table.isWithin(first, SlotAllowance.NONE));
        }

        @Test
        void shouldKeepConnectionsWithinSlotsAndOneProbe() {
            int opened = 0;
            while (table.openConnection(upstream)) {
                opened++;
            }
            assertTrue(table.setProbeConnection(upstream, true));
            assertFalse(table.setProbeConnection(upstream, true));
            assertEquals(8, opened);
            assertEquals(9, upstream.connections());
        }

        @Test
        void shouldKeepOneConnectionForProbesWhenAnUpstreamAcceptsFewerConnectionsThanSlots() {
            assertEquals(3, table.add("u2", 8, 4).free());
        }
    }

    @Nested
    class Release {

        @Test
        void shouldKeepTheSlotUntilTheBoundWhenTheConnectionClosed() {
            Slot slot = table.take(upstream, LONG, 10).orElseThrow();
            table.releaseAfterExecutionBound(slot, 20);
            table.tick(1009);
            assertEquals(1, upstream.used());
            table.tick(1010);
            assertEquals(0, upstream.used());
        }

        @Test
        void shouldFreeOnceWhenASlotIsFreedTwice() {
            Slot slot = table.take(upstream, SHORT, 0).orElseThrow();
            table.take(upstream, SHORT, 0);
            table.releaseAfterExecutionBound(slot, 1);
            table.release(slot);
            table.release(slot);
            table.tick(200);
            assertEquals(1, upstream.used());
        }

        @Test
        void shouldRestoreTakenSlotsWhenARemovedUpstreamIsAddedAgain() {
            table.take(upstream, SHORT, 0);
            table.remove(upstream);
            assertEquals(0, table.free());
            assertEquals(7, table.add("u1", 8, 64).free());
        }
    }

    @Nested
    class Takeover {

        @Test
        void shouldFreeShortKindsFirstWhenTheirBoundHasPassed() {
            table.reserveForFormerOwner(upstream, 0);
            assertEquals(0, table.free());
            table.tick(100);
            assertEquals(5, table.free(SHORT));
            assertEquals(0, table.free(LONG));
            table.tick(1000);
            assertEquals(3, table.free(LONG));
        }

        @Test
        void shouldExtendTheReservationWhenTheFormerOwnerMayHaveDispatchedLater() {
            table.reserveForFormerOwner(upstream, 0);
            table.reserveForFormerOwner(upstream, 500);
            table.tick(599);
            assertEquals(0, table.free());
            table.tick(600);
            assertEquals(5, table.free());
        }

        @Test
        void shouldReserveOnlyRequestsInProgressWhenTheFormerOwnerHasReleased() {
            table.reserveForFormerOwner(upstream, 0);
            table.clearReservations(upstream);
            table.reserve(upstream, LONG, 2, 1000);
            table.tick(100);
            assertEquals(6, table.free());
            assertEquals(1, table.free(LONG));
        }
    }

    @Nested
    class Choice {

        @Test
        void shouldChooseTheOnlyUpstreamWithAFreeSlotAmongMany() {
            for (int i = 2; i <= 1000; i++) {
                Upstream full = table.add("u" + i, 1, 64);
                table.take(full, SHORT, 0);
            }
            Optional<Upstream> chosen = UpstreamChoice.powerOfTwoChoices()
                    .choose(table.usable(SHORT), Optional.of(upstream), new java.util.Random(1));
            assertEquals(Optional.of(upstream), chosen);
        }
    }
}
