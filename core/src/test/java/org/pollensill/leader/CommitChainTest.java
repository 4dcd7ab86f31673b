package org.pollensill.leader;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollensill.platform.CommitOutcome;
import org.pollensill.platform.PlatformException.Effect;
import org.pollensill.platform.Row;
import org.pollensill.platform.Write;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

class CommitChainTest {

    private static final String KEY = "leader/lease";

    private final LeaderRow candidate = new LeaderRow(
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
    private final CommitChain chain = CommitChain.campaign(KEY, candidate, 40);

    private void begin() {
        chain.begin(Map.of(), LeaseBounds.NONE, false, List.of(Write.put("progress/x", "1")));
    }

    private Row row(LeaderRow value, long version) {
        return new Row(KEY, version, value.encode());
    }

    private LeaderRow ownRow(long sequence) {
        return new LeaderRow(
                "a",
                "a-1",
                "10.0.0.1:7000",
                5,
                sequence,
                false,
                Map.of(),
                Optional.empty(),
                false,
                Optional.empty(),
                Optional.empty());
    }

    @Nested
    class Commits {

        @Test
        void shouldBeConditionalOnTheVersionOfItsLastCommit() {
            begin();
            assertEquals(40, chain.current().conditions().get(0).version());
            assertEquals(CommitChain.Next.COMMITTED, chain.onOutcome(new CommitOutcome.Committed(Map.of(KEY, 44L))));
            begin();
            assertEquals(44, chain.current().conditions().get(0).version());
        }

        @Test
        void shouldRejectASecondCommitInFlight() {
            begin();
            assertThrows(IllegalStateException.class, CommitChainTest.this::begin);
        }

        @Test
        void shouldWithdrawACommitThatCertainlyHadNoEffect() {
            begin();
            assertEquals(CommitChain.Next.WITHDRAWN, chain.onFailure(Effect.NONE));
            assertFalse(chain.busy());
        }

        // Guards against a commit that is repeated for ever although the store rejects its content.
        @Test
        void shouldGiveUpACommitThatTheStoreRejectsForItsContent() {
            begin();
            assertEquals(CommitChain.Next.REJECTED, chain.onFailure(Effect.REJECTED));
            assertFalse(chain.busy());
        }

        @Test
        void shouldNotTakeACommitThatWasGivenUpForTheNextOne() {
            begin();
            chain.onFailure(Effect.UNKNOWN);
            chain.onFailure(Effect.REJECTED);
            begin();
            chain.onFailure(Effect.UNKNOWN);
            assertEquals(CommitChain.Next.DEPOSED, chain.onRow(Optional.of(row(ownRow(1), 50))));
        }
    }

    @Nested
    class LostAnswers {

        @Test
        void shouldRecogniseItsCommitByTheSequenceNumber() {
            begin();
            assertEquals(CommitChain.Next.READ_ROW, chain.onFailure(Effect.UNKNOWN));
            assertEquals(CommitChain.Next.COMMITTED, chain.onRow(Optional.of(row(ownRow(1), 50))));
            begin();
            assertEquals(50, chain.current().conditions().get(0).version());
        }

        @Test
        void shouldRepeatTheSameCommitWhileTheRowIsUnchanged() {
            begin();
            String id = chain.current().commitId();
            chain.onFailure(Effect.UNKNOWN);
            assertEquals(CommitChain.Next.REPEAT, chain.onRow(Optional.of(row(ownRow(0), 40))));
            assertEquals(id, chain.current().commitId());
        }

        @Test
        void shouldNotWithdrawACommitThatMayStillTakeEffect() {
            begin();
            chain.onFailure(Effect.UNKNOWN);
            chain.onRow(Optional.of(row(ownRow(0), 40)));
            assertEquals(CommitChain.Next.REPEAT, chain.onFailure(Effect.NONE));
            assertTrue(chain.busy());
        }

        @Test
        void shouldRecogniseItsDelayedCommitWhenTheRetryConflicts() {
            begin();
            chain.onFailure(Effect.UNKNOWN);
            chain.onRow(Optional.of(row(ownRow(0), 40)));
            assertEquals(CommitChain.Next.READ_ROW, chain.onOutcome(new CommitOutcome.Conflicted(Map.of(KEY, 50L))));
            assertEquals(CommitChain.Next.COMMITTED, chain.onRow(Optional.of(row(ownRow(1), 50))));
        }
    }

    @Nested
    class OtherLeaders {

        @Test
        void shouldBeDeposedByAnotherLeadersRow() {
            begin();
            chain.onOutcome(new CommitOutcome.Conflicted(Map.of(KEY, 60L)));
            LeaderRow other = new LeaderRow(
                    "b",
                    "b-1",
                    "10.0.0.2:7000",
                    6,
                    1,
                    false,
                    Map.of(),
                    Optional.empty(),
                    false,
                    Optional.empty(),
                    Optional.empty());
            assertEquals(CommitChain.Next.DEPOSED, chain.onRow(Optional.of(row(other, 60))));
        }

        @Test
        void shouldBeDeposedByARowThatCannotBeDecoded() {
            begin();
            assertEquals(CommitChain.Next.DEPOSED, chain.onRow(Optional.of(new Row(KEY, 60, "not JSON"))));
        }

        @Test
        void shouldBeDeposedWhenTheRowWasDeleted() {
            begin();
            assertEquals(CommitChain.Next.DEPOSED, chain.onRow(Optional.empty()));
        }
    }
}
