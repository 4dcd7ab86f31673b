package org.pollensill.leader;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollensill.admission.MemoryCredit;
import org.pollensill.json.JsonSyntaxException;
import org.pollensill.platform.CommitOutcome;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class LeaderRowTest {

    @Nested
    class Leases {

        @Test
        void shouldBeReadAsTheyWereStored() throws JsonSyntaxException {
            LeaseBounds bounds =
                    new LeaseBounds(1_200, 8_300, Map.of("r1", new LeaseBounds.RunnerBound(1_796_532_194_246L, 0)));
            LeaderRow row = new LeaderRow(
                    "a",
                    "a-1",
                    "10.0.0.1:7000",
                    5,
                    1,
                    false,
                    Map.of("q", 2),
                    Optional.of(bounds),
                    false,
                    Optional.empty(),
                    Optional.of(new MemoryCredit(5_000_000, 70)));
            assertEquals(row, LeaderRow.decode(row.encode()));
        }

        // Both versions lead in turn while processes are replaced.
        @Test
        void shouldBeMissingInTheRowOfAFormerVersion() throws JsonSyntaxException {
            String stored = "{\"leader\":\"a\",\"incarnation\":\"a-1\",\"fence\":5,\"sequence\":1,\"waitingJobs\":{}}";
            assertEquals(Optional.empty(), LeaderRow.decode(stored).leases());
        }
    }

    @Nested
    class Loading {

        // Peers that read a number of waiting jobs from a leader that loads its state would show 0.
        @Test
        void shouldBeStoredUntilTheStateIsLoaded() throws JsonSyntaxException {
            LeaderRow candidate = new LeaderRow(
                    "a",
                    "a-1",
                    "10.0.0.1:7000",
                    5,
                    0,
                    false,
                    Map.of(),
                    Optional.empty(),
                    false,
                    Optional.empty(),
                    Optional.empty());
            CommitChain chain = CommitChain.campaign("leader/lease", candidate, 0);
            chain.setLoading(true);
            chain.begin(Map.of(), LeaseBounds.NONE, false, List.of());
            chain.onOutcome(new CommitOutcome.Committed(Map.of("leader/lease", 7L)));
            assertTrue(LeaderRow.decode(chain.row().encode()).loading());
            chain.setLoading(false);
            chain.begin(Map.of(), LeaseBounds.NONE, false, List.of());
            chain.onOutcome(new CommitOutcome.Committed(Map.of("leader/lease", 8L)));
            assertFalse(LeaderRow.decode(chain.row().encode()).loading());
        }
    }
}
