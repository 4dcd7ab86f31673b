package org.pollensill.coordinator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollensill.job.JobCodec;
import org.pollensill.job.JobRecord;
import org.pollensill.job.JobStatus;
import org.pollensill.platform.Commit;
import org.pollensill.platform.CommitOutcome;
import org.pollensill.platform.Condition;
import org.pollensill.platform.PlatformException;
import org.pollensill.platform.Prefix;
import org.pollensill.platform.Row;
import org.pollensill.platform.RowStore;
import org.pollensill.platform.Write;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class JobCancellerTest {

    private static final String JOB = "aaaaaaaaaaaaaaaa";
    private static final long DEADLINE_MS = 2_850;

    private final Map<String, String> rows = new HashMap<>();
    private final List<Runnable> scheduled = new ArrayList<>();
    private final List<Commit> sent = new ArrayList<>();
    private Runnable beforeCommit = () -> {};
    private Optional<PlatformException> commitFailure = Optional.empty();
    private long nowMs;

    private final RowStore store = new RowStore() {
        @Override
        public CompletableFuture<List<Row>> read(List<String> keys, List<Prefix> prefixes) {
            List<Row> found = new ArrayList<>();
            for (Map.Entry<String, String> row : rows.entrySet()) {
                boolean wanted = keys.contains(row.getKey())
                        || prefixes.stream().anyMatch(prefix -> row.getKey().startsWith(prefix.prefix()));
                if (wanted) {
                    found.add(new Row(row.getKey(), 1, row.getValue()));
                }
            }
            return CompletableFuture.completedFuture(found);
        }

        @Override
        public CompletableFuture<CommitOutcome> commit(Commit commit) {
            sent.add(commit);
            beforeCommit.run();
            if (commitFailure.isPresent()) {
                return CompletableFuture.failedFuture(commitFailure.get());
            }
            for (Condition condition : commit.conditions()) {
                if (rows.containsKey(condition.key())) {
                    return CompletableFuture.completedFuture(new CommitOutcome.Conflicted(Map.of(condition.key(), 1L)));
                }
            }
            for (Write write : commit.writes()) {
                rows.put(write.key(), write.value().orElse(""));
            }
            return CompletableFuture.completedFuture(new CommitOutcome.Committed(Map.of()));
        }

        @Override
        public CompletableFuture<Page> page(String table, String after, int limit) {
            throw new UnsupportedOperationException("no pages here");
        }

        @Override
        public CompletableFuture<Changes> changesAfter(String table, long version, long waitMs) {
            throw new UnsupportedOperationException("no changes here");
        }
    };

    private final StoreHealth health = new StoreHealth(() -> nowMs);
    private final JobCanceller canceller = new JobCanceller(
            () -> nowMs,
            (delayMs, action) -> {
                scheduled.add(action);
                return () -> scheduled.remove(action);
            },
            store,
            health,
            new JobStateReader(store, health));

    private Optional<JobCanceller.Outcome> cancel() {
        CompletableFuture<JobCanceller.Outcome> result = canceller.cancel(JOB, DEADLINE_MS);
        while (!scheduled.isEmpty()) {
            nowMs += 100;
            scheduled.remove(0).run();
        }
        return Optional.ofNullable(result.getNow(null));
    }

    @Nested
    class UnknownJobs {

        // Guards against a submission that the store carries out after the cancelling was acknowledged.
        @Test
        void shouldStoreTheCancellationOfAJobThatIsNotThere() {
            assertEquals(Optional.of(JobCanceller.Outcome.UNKNOWN_JOB), cancel());
            assertTrue(rows.containsKey(Tables.cancelKey(JOB)));
        }

        @Test
        void shouldCancelAJobThatIsStoredBetweenTheReadAndTheWrite() {
            beforeCommit = () -> rows.put(Tables.jobKey(JOB), "{}");
            assertEquals(Optional.of(JobCanceller.Outcome.CANCELLED), cancel());
            assertEquals(2, sent.size());
        }

        @Test
        void shouldNotAnswerThatAJobIsUnknownWhileItsCancellationMayBeLost() {
            commitFailure = Optional.of(new PlatformException(PlatformException.Effect.UNKNOWN, "no answer"));
            assertEquals(Optional.of(JobCanceller.Outcome.UNCERTAIN), cancel());
        }

        @Test
        void shouldReportACancellationThatTheStoreRefused() {
            commitFailure = Optional.of(new PlatformException(PlatformException.Effect.NONE, "refused"));
            assertEquals(Optional.of(JobCanceller.Outcome.NOT_STORED), cancel());
        }
    }

    @Nested
    class KnownJobs {

        @Test
        void shouldStoreTheCancellation() {
            rows.put(Tables.jobKey(JOB), "{}");
            assertEquals(Optional.of(JobCanceller.Outcome.CANCELLED), cancel());
            assertTrue(rows.containsKey(Tables.cancelKey(JOB)));
        }

        @Test
        void shouldWriteNothingWhenTheJobHasEnded() {
            rows.put(Tables.jobKey(JOB), "{}");
            rows.put(Tables.progressKey(JOB), JobCodec.encode(new JobRecord(JobStatus.DONE, List.of())));
            assertEquals(Optional.of(JobCanceller.Outcome.CANCELLED), cancel());
            assertTrue(sent.isEmpty());
        }
    }
}
