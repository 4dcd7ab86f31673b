package org.pollensill.leader;

import java.util.Map;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Guards against leases that outlast the bound on which a successor relies. */
class LeaseLimitTest {

    private static final LeaseBounds GRANTING = new LeaseBounds(0, 8_300, Map.of());

    private final LeaseLimit limit = LeaseLimit.of(8_000);

    @Nested
    class Commits {

        @Test
        void shouldPermitNothingBeforeTheBoundsOfTheLeaderAreStored() {
            limit.onCommitBegun(LeaseBounds.NONE, 1_000);
            limit.onCommitStored();
            assertEquals(0, limit.maxLeaseMs(1_010));
            limit.onCommitBegun(GRANTING, 1_020);
            assertEquals(0, limit.maxLeaseMs(1_030));
        }

        @Test
        void shouldCountFromTheStartOfTheLastStoredCommit() {
            limit.onCommitBegun(GRANTING, 1_000);
            limit.onCommitStored();
            limit.onCommitBegun(GRANTING, 4_000);
            assertEquals(5_000, limit.maxLeaseMs(4_000));
            assertEquals(0, limit.maxLeaseMs(9_500));
            limit.onCommitStored();
            assertEquals(2_500, limit.maxLeaseMs(9_500));
        }
    }

    @Nested
    class Suspension {

        @Test
        void shouldPermitNothingUntilALaterCommitIsStored() {
            limit.onCommitBegun(GRANTING, 1_000);
            limit.onCommitStored();
            limit.onCommitBegun(GRANTING, 2_000);
            limit.onSuspended();
            limit.onCommitStored();
            assertEquals(0, limit.maxLeaseMs(2_100));
            limit.onCommitBegun(GRANTING, 2_200);
            limit.onCommitStored();
            assertEquals(7_900, limit.maxLeaseMs(2_300));
        }
    }
}
