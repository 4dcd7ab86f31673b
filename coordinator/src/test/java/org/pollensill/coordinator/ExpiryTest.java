package org.pollensill.coordinator;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollensill.platform.Commit;
import org.pollensill.platform.CommitOutcome;
import org.pollensill.platform.PlatformException;
import org.pollensill.platform.Write;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class ExpiryTest {

    private static final String JOB = "aaaaaaaaaaaaaaaa";
    private static final long KEEP_MS = 150_000;

    private final List<Commit> sent = new ArrayList<>();
    private final List<CompletableFuture<CommitOutcome>> answers = new ArrayList<>();
    private final List<String> forgotten = new ArrayList<>();
    private final Expiry expiry = new Expiry(
            commit -> {
                sent.add(commit);
                CompletableFuture<CommitOutcome> answer = new CompletableFuture<>();
                answers.add(answer);
                return answer;
            },
            new Expiry.Jobs() {
                @Override
                public List<String> endedBefore(long timeMs) {
                    return timeMs >= 0 && forgotten.isEmpty() ? List.of(JOB) : List.of();
                }

                @Override
                public void forget(String id) {
                    forgotten.add(id);
                }
            },
            KEEP_MS);

    private void succeed(int call) {
        answers.get(call).complete(new CommitOutcome.Committed(Map.of()));
    }

    @Nested
    class OrderOfDeletions {

        @Test
        void shouldKeepTheProgressUntilTheJobsOwnRowsAreGone() {
            expiry.run(KEEP_MS);
            assertEquals(1, sent.size());
            assertTrue(expiry.takeProgressDeletions().isEmpty());
            succeed(0);
            assertEquals(List.of(Write.delete(Tables.progressKey(JOB))), expiry.takeProgressDeletions());
        }

        @Test
        void shouldKeepTheProgressWhenTheStoreDoesNotAnswer() {
            expiry.run(KEEP_MS);
            answers.get(0).completeExceptionally(new PlatformException(PlatformException.Effect.UNKNOWN, "no answer"));
            assertTrue(expiry.takeProgressDeletions().isEmpty());
            expiry.run(KEEP_MS + 1);
            assertEquals(2, sent.size());
        }

        @Test
        void shouldTryAgainWhenTheCommitOfTheProgressWasWithdrawn() {
            expiry.run(KEEP_MS);
            succeed(0);
            List<Write> writes = expiry.takeProgressDeletions();
            assertTrue(expiry.takeProgressDeletions().isEmpty());
            expiry.restore(writes);
            assertEquals(writes, expiry.takeProgressDeletions());
        }
    }

    @Nested
    class Memory {

        @Test
        void shouldKnowAJobWhileAReadThatBeganBeforeItsDeletionMayStillBringIt() {
            expiry.run(KEEP_MS);
            succeed(0);
            expiry.run(KEEP_MS + Expiry.LONGEST_READ_MS);
            assertTrue(forgotten.isEmpty());
            expiry.run(KEEP_MS + Expiry.LONGEST_READ_MS + 1);
            assertEquals(List.of(JOB), forgotten);
        }

        @Test
        void shouldAskOnceForEachJob() {
            expiry.run(KEEP_MS);
            expiry.run(KEEP_MS + 1);
            assertEquals(1, sent.size());
        }
    }

    @Nested
    class Orphans {

        @Test
        void shouldDeleteProgressWhoseJobIsGone() {
            expiry.addOrphans(List.of(JOB));
            assertEquals(List.of(Write.delete(Tables.progressKey(JOB))), expiry.takeProgressDeletions());
        }
    }
}
