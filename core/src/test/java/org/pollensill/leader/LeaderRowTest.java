package org.pollensill.leader;

import java.util.Map;
import java.util.Optional;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollensill.json.JsonSyntaxException;

import static org.junit.jupiter.api.Assertions.assertEquals;

class LeaderRowTest {

    @Nested
    class Leases {

        @Test
        void shouldBeReadAsTheyWereStored() throws JsonSyntaxException {
            LeaseBounds bounds =
                    new LeaseBounds(1_200, 8_300, Map.of("r1", new LeaseBounds.RunnerBound(1_796_532_194_246L, 0)));
            LeaderRow row =
                    new LeaderRow("a", "a-1", "10.0.0.1:7000", 5, 1, false, Map.of("q", 2), Optional.of(bounds));
            assertEquals(row, LeaderRow.decode(row.encode()));
        }

        // Both versions lead in turn while processes are replaced.
        @Test
        void shouldBeMissingInTheRowOfAFormerVersion() throws JsonSyntaxException {
            String stored = "{\"leader\":\"a\",\"incarnation\":\"a-1\",\"fence\":5,\"sequence\":1,\"waitingJobs\":{}}";
            assertEquals(Optional.empty(), LeaderRow.decode(stored).leases());
        }
    }
}
