package org.pollensill.leader;

import java.util.Map;
import java.util.Optional;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class LeaderWatchTest {

    private static final long LEASE_TIMEOUT_MS = 2_000;

    private final LeaderWatch watch = LeaderWatch.of(LEASE_TIMEOUT_MS);

    private static Optional<LeaderRow> row(boolean released) {
        return Optional.of(new LeaderRow(
                "a",
                "a-1",
                "10.0.0.1:7000",
                5,
                1,
                released,
                Map.of(),
                Optional.empty(),
                false,
                Optional.empty(),
                Optional.empty()));
    }

    @Nested
    class Campaigns {

        @Test
        void shouldKnowThatThereWasNoLeaderOnceNoRowWasRead() {
            assertFalse(watch.neverLed());
            watch.onRow(Optional.empty(), 0, 1_000, 1_000);
            assertTrue(watch.neverLed());
        }

        @Test
        void shouldNotCampaignBeforeTheRowWasRead() {
            assertFalse(watch.shouldCampaign(1_000_000, 0));
        }

        @Test
        void shouldCampaignWhenTheRowIsUnchangedForTheLeaseTimeout() {
            watch.onRow(row(false), 7, 1_000, 1_000);
            watch.onRow(row(false), 7, 2_900, 2_900);
            assertFalse(watch.shouldCampaign(2_999, 0));
            assertTrue(watch.shouldCampaign(3_000, 0));
        }

        @Test
        void shouldRestartTheTimeoutWhenTheRowChanges() {
            watch.onRow(row(false), 7, 1_000, 1_000);
            watch.onRow(row(false), 8, 2_900, 2_900);
            assertFalse(watch.shouldCampaign(3_000, 0));
        }

        @Test
        void shouldCampaignWithoutTimeoutWhenTheLeaseIsReleased() {
            watch.onRow(row(true), 7, 1_000, 1_000);
            assertTrue(watch.shouldCampaign(1_000, 0));
            assertFalse(watch.shouldCampaign(1_000, 50));
        }

        @Test
        void shouldCampaignWhenTheLeadersProcessRefusesConnections() {
            watch.onRow(row(false), 7, 1_000, 1_000);
            watch.onLeaderUnavailable("a-1", false);
            assertTrue(watch.shouldCampaign(1_100, 50));
        }

        @Test
        void shouldIgnoreAnOlderVersion() {
            watch.onRow(row(false), 8, 1_000, 1_000);
            watch.onRow(Optional.empty(), 7, 1_100, 1_100);
            assertFalse(watch.vacant());
        }
    }

    @Nested
    class FormerLeader {

        @Test
        void shouldNotBeConsideredEndedAfterARefusedConnection() {
            watch.onRow(row(false), 7, 1_000, 1_000);
            watch.onLeaderUnavailable("a-1", false);
            assertFalse(watch.formerLeaderStopped());
            watch.onLeaderUnavailable("a-1", true);
            assertTrue(watch.formerLeaderStopped());
        }

        @Test
        void shouldResetItsStateWhenAnotherLeaderAppears() {
            watch.onRow(row(false), 7, 1_000, 1_000);
            watch.onLeaderUnavailable("a-1", true);
            watch.onRow(
                    Optional.of(new LeaderRow(
                            "b",
                            "b-1",
                            "",
                            6,
                            1,
                            false,
                            Map.of(),
                            Optional.empty(),
                            false,
                            Optional.empty(),
                            Optional.empty())),
                    9,
                    1_200,
                    1_200);
            assertFalse(watch.formerLeaderStopped());
            assertFalse(watch.vacant());
        }
    }
}
