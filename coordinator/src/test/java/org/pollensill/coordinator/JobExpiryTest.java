package org.pollensill.coordinator;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollensill.platform.Commit;
import org.pollensill.platform.CommitOutcome;
import org.pollensill.platform.Condition;
import org.pollensill.platform.PlatformException;
import org.pollensill.platform.Write;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class JobExpiryTest {

    private static final String JOB = "aaaaaaaaaaaaaaaa";
    private static final long RETENTION_MS = 150_000;

    private final List<Commit> sent = new ArrayList<>();
    private final List<CompletableFuture<CommitOutcome>> answers = new ArrayList<>();
    private final List<String> removed = new ArrayList<>();
    private final List<String> cancelledEarly = new ArrayList<>();
    private final JobExpiry expiry = new JobExpiry(
            commit -> {
                sent.add(commit);
                CompletableFuture<CommitOutcome> answer = new CompletableFuture<>();
                answers.add(answer);
                return answer;
            },
            new JobExpiry.EndedJobs() {
                @Override
                public List<String> endedBefore(long timeMs) {
                    return timeMs >= 0 && removed.isEmpty() ? List.of(JOB) : List.of();
                }

                @Override
                public void remove(String id) {
                    removed.add(id);
                }

                @Override
                public List<String> cancelledEarlyBefore(long timeMs) {
                    return timeMs >= 0 ? List.copyOf(cancelledEarly) : List.of();
                }

                @Override
                public void removeEarlyCancellation(String id) {
                    cancelledEarly.remove(id);
                }
            },
            RETENTION_MS);

    private void confirm(int call) {
        answers.get(call).complete(new CommitOutcome.Committed(Map.of()));
    }

    @Nested
    class DeletionOrder {

        @Test
        void shouldKeepProgressUntilIntakeRowsAreDeleted() {
            expiry.run(RETENTION_MS);
            assertEquals(1, sent.size());
            assertTrue(expiry.takeProgressDeletions().isEmpty());
            confirm(0);
            assertEquals(List.of(Write.delete(Tables.progressKey(JOB))), expiry.takeProgressDeletions());
        }

        @Test
        void shouldKeepProgressWhenStoreDoesNotAnswer() {
            expiry.run(RETENTION_MS);
            answers.get(0).completeExceptionally(new PlatformException(PlatformException.Effect.UNKNOWN, "no answer"));
            assertTrue(expiry.takeProgressDeletions().isEmpty());
            expiry.run(RETENTION_MS + 1);
            assertEquals(2, sent.size());
        }

        @Test
        void shouldRetryWhenCommitOfProgressDeletionIsWithdrawn() {
            expiry.run(RETENTION_MS);
            confirm(0);
            List<Write> writes = expiry.takeProgressDeletions();
            assertTrue(expiry.takeProgressDeletions().isEmpty());
            expiry.restore(writes);
            assertEquals(writes, expiry.takeProgressDeletions());
        }
    }

    @Nested
    class JobsInMemory {

        @Test
        void shouldKeepJobInMemoryWhileEarlierReadMayReturnIt() {
            expiry.run(RETENTION_MS);
            confirm(0);
            expiry.run(RETENTION_MS + JobExpiry.MAX_TABLE_READ_MS);
            assertTrue(removed.isEmpty());
            expiry.run(RETENTION_MS + JobExpiry.MAX_TABLE_READ_MS + 1);
            assertEquals(List.of(JOB), removed);
        }

        @Test
        void shouldDeleteEachJobOnce() {
            expiry.run(RETENTION_MS);
            expiry.run(RETENTION_MS + 1);
            assertEquals(1, sent.size());
        }
    }

    @Nested
    class EarlyCancellations {

        @Test
        void shouldDeleteACancellationOnlyWhileItsJobIsAbsent() {
            removed.add(JOB);
            cancelledEarly.add("bbbbbbbbbbbbbbbb");
            expiry.run(RETENTION_MS);
            assertEquals(
                    List.of(Condition.absent(Tables.jobKey("bbbbbbbbbbbbbbbb"))),
                    sent.get(0).conditions());
            answers.get(0).complete(new CommitOutcome.Conflicted(Map.of(Tables.jobKey("bbbbbbbbbbbbbbbb"), 7L)));
            assertEquals(List.of("bbbbbbbbbbbbbbbb"), cancelledEarly);
            expiry.run(RETENTION_MS);
            confirm(1);
            assertTrue(cancelledEarly.isEmpty());
        }
    }

    @Nested
    class Orphans {

        @Test
        void shouldDeleteProgressWithoutJob() {
            expiry.addOrphans(List.of(Tables.progressKey(JOB)));
            assertEquals(List.of(Write.delete(Tables.progressKey(JOB))), expiry.takeProgressDeletions());
        }
    }
}
