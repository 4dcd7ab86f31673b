package org.pollensill.coordinator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollensill.job.JobRequest;
import org.pollensill.job.JobSchedule;
import org.pollensill.job.PlacementRule;
import org.pollensill.job.ServiceLevel;
import org.pollensill.job.StepSpec;
import org.pollensill.platform.Commit;
import org.pollensill.platform.CommitOutcome;
import org.pollensill.platform.PlatformException;
import org.pollensill.platform.Prefix;
import org.pollensill.platform.Row;
import org.pollensill.platform.TableService;
import org.pollensill.worker.Resources;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class IntakeWriterTest {

    private static final long DEADLINE_MS = 2_850;
    private static final long MAX_ROW_BYTES = 65_536;

    private record Timer(long atMs, Runnable action) {}

    private final List<Commit> sent = new ArrayList<>();
    private final List<CompletableFuture<CommitOutcome>> answers = new ArrayList<>();
    private final List<Timer> timers = new ArrayList<>();
    private long nowMs;
    private final StoreHealth health = new StoreHealth(() -> nowMs);
    private final Map<String, Long> storedVersions = new HashMap<>();
    private final IntakeWriter writer = new IntakeWriter(
            () -> nowMs,
            (delayMs, action) -> timers.add(new Timer(nowMs + delayMs, action)),
            new TableService() {
                @Override
                public CompletableFuture<List<Row>> read(List<String> keys, List<Prefix> prefixes) {
                    return CompletableFuture.completedFuture(List.of());
                }

                @Override
                public CompletableFuture<CommitOutcome> commit(Commit commit) {
                    sent.add(commit);
                    answers.add(new CompletableFuture<>());
                    return answers.get(answers.size() - 1);
                }
            },
            health,
            "test",
            MAX_ROW_BYTES,
            storedVersions::put);

    private static JobRequest job(String id) {
        StepSpec step = new StepSpec(
                1, new Resources(1_000, 0, 0), 500, List.of(), Set.of(), PlacementRule.ANY, ServiceLevel.NONE);
        return new JobRequest(id, "queue", "service", "", List.of(step), JobSchedule.AT_ONCE, 0, Optional.empty());
    }

    private void advance(long toMs) {
        nowMs = toMs;
        for (Timer timer : List.copyOf(timers)) {
            if (timer.atMs() <= nowMs) {
                timers.remove(timer);
                timer.action().run();
            }
        }
    }

    private static Optional<IntakeWriter.Outcome> outcome(CompletableFuture<IntakeWriter.Outcome> result) {
        return Optional.ofNullable(result.getNow(null));
    }

    // A job whose version is unknown counts against the credit of its coordinator for longer than it has to.
    @Nested
    class StoredVersions {

        @Test
        void shouldTellTheVersionOfAWrittenJob() {
            writer.store(job("aaaaaaaaaaaaaaaa"), DEADLINE_MS);
            answers.get(0).complete(new CommitOutcome.Committed(Map.of(Tables.jobKey("aaaaaaaaaaaaaaaa"), 7L)));
            assertEquals(Map.of("aaaaaaaaaaaaaaaa", 7L), storedVersions);
        }

        @Test
        void shouldTellTheVersionOfAJobThatAnEarlierAttemptHasWritten() {
            writer.store(job("aaaaaaaaaaaaaaaa"), DEADLINE_MS);
            answers.get(0).complete(new CommitOutcome.Conflicted(Map.of(Tables.jobKey("aaaaaaaaaaaaaaaa"), 5L)));
            assertEquals(Map.of("aaaaaaaaaaaaaaaa", 5L), storedVersions);
        }
    }

    @Nested
    class UnresponsiveStore {

        @Test
        void shouldReportUnknownOutcomeBeforeClientDeadline() {
            CompletableFuture<IntakeWriter.Outcome> result = writer.store(job("aaaaaaaaaaaaaaaa"), DEADLINE_MS);
            advance(IntakeWriter.SILENCE_TIMEOUT_MS - 1);
            assertFalse(result.isDone());
            advance(IntakeWriter.SILENCE_TIMEOUT_MS);
            assertEquals(Optional.of(IntakeWriter.Outcome.UNKNOWN), outcome(result));
        }

        @Test
        void shouldWaitForSlowStoreUntilDeadline() {
            CompletableFuture<IntakeWriter.Outcome> result = writer.store(job("aaaaaaaaaaaaaaaa"), DEADLINE_MS);
            for (long atMs = 500; atMs < DEADLINE_MS; atMs += 500) {
                advance(atMs);
                health.track(CompletableFuture.completedFuture("another call"));
            }
            assertFalse(result.isDone());
            advance(DEADLINE_MS);
            assertEquals(Optional.of(IntakeWriter.Outcome.UNKNOWN), outcome(result));
        }

        @Test
        void shouldReportNotStoredWhenJobWasNeverSent() {
            writer.store(job("aaaaaaaaaaaaaaaa"), DEADLINE_MS);
            CompletableFuture<IntakeWriter.Outcome> queued = writer.store(job("abbbbbbbbbbbbbbb"), DEADLINE_MS);
            assertEquals(1, sent.size());
            advance(IntakeWriter.SILENCE_TIMEOUT_MS);
            assertEquals(Optional.of(IntakeWriter.Outcome.NOT_STORED), outcome(queued));
            answers.get(0).completeExceptionally(new PlatformException(PlatformException.Effect.UNKNOWN, "no answer"));
            advance(2 * IntakeWriter.SILENCE_TIMEOUT_MS);
            assertEquals(1, sent.size());
        }

        @Test
        void shouldReportUnknownOutcomeAtDeadlineWhenItIsEarlier() {
            CompletableFuture<IntakeWriter.Outcome> result = writer.store(job("aaaaaaaaaaaaaaaa"), 300);
            advance(300);
            assertEquals(Optional.of(IntakeWriter.Outcome.UNKNOWN), outcome(result));
        }
    }

    @Nested
    class Answers {

        @Test
        void shouldReportStoredAfterCommit() {
            CompletableFuture<IntakeWriter.Outcome> result = writer.store(job("aaaaaaaaaaaaaaaa"), DEADLINE_MS);
            answers.get(0).complete(new CommitOutcome.Committed(Map.of()));
            assertEquals(Optional.of(IntakeWriter.Outcome.STORED), outcome(result));
        }

        @Test
        void shouldReportStoredWhenJobAlreadyExists() {
            CompletableFuture<IntakeWriter.Outcome> result = writer.store(job("aaaaaaaaaaaaaaaa"), DEADLINE_MS);
            answers.get(0).complete(new CommitOutcome.Conflicted(Map.of(Tables.jobKey("aaaaaaaaaaaaaaaa"), 7L)));
            assertEquals(Optional.of(IntakeWriter.Outcome.STORED), outcome(result));
        }

        @Test
        void shouldReportUnknownOutcomeWhenAnyAttemptMayHaveTakenEffect() {
            CompletableFuture<IntakeWriter.Outcome> result = writer.store(job("aaaaaaaaaaaaaaaa"), DEADLINE_MS);
            answers.get(0).completeExceptionally(new PlatformException(PlatformException.Effect.UNKNOWN, "lost"));
            advance(100);
            answers.get(1).completeExceptionally(new PlatformException(PlatformException.Effect.NONE, "refused"));
            advance(200);
            assertEquals(3, sent.size());
            assertFalse(result.isDone());
            advance(IntakeWriter.SILENCE_TIMEOUT_MS);
            assertEquals(Optional.of(IntakeWriter.Outcome.UNKNOWN), outcome(result));
        }

        // Guards against a refusal of all jobs of a transaction that the store rejects for one of them.
        @Test
        void shouldStoreTheOtherJobsWhenTheStoreRejectsOne() {
            writer.store(job("aaaaaaaaaaaaaaaa"), DEADLINE_MS);
            List<CompletableFuture<IntakeWriter.Outcome>> results = new ArrayList<>();
            for (int i = 0; i < 5; i++) {
                results.add(writer.store(job("abbbbbbbbbbbbbb" + i), DEADLINE_MS));
            }
            answers.get(0).complete(new CommitOutcome.Committed(Map.of()));
            for (int call = 1; call < answers.size(); call++) {
                boolean rejected = sent.get(call).writes().stream()
                        .anyMatch(write -> write.key().endsWith("3"));
                if (rejected) {
                    answers.get(call)
                            .completeExceptionally(
                                    new PlatformException(PlatformException.Effect.REJECTED, "answered 400"));
                } else {
                    answers.get(call).complete(new CommitOutcome.Committed(Map.of()));
                }
                advance(nowMs + 100);
            }
            for (int i = 0; i < results.size(); i++) {
                IntakeWriter.Outcome expected = i == 3 ? IntakeWriter.Outcome.REJECTED : IntakeWriter.Outcome.STORED;
                assertEquals(Optional.of(expected), outcome(results.get(i)), "job " + i);
            }
        }

        @Test
        void shouldRejectAJobWhoseRowIsTooLargeAtOnce() {
            StepSpec step = new StepSpec(
                    1, new Resources(1_000, 0, 0), 500, List.of(), Set.of(), PlacementRule.ANY, ServiceLevel.NONE);
            JobRequest large = new JobRequest(
                    "aaaaaaaaaaaaaaaa",
                    "queue",
                    "service",
                    "\u00e4".repeat((int) MAX_ROW_BYTES / 2),
                    List.of(step),
                    JobSchedule.AT_ONCE,
                    0,
                    Optional.empty());
            assertEquals(Optional.of(IntakeWriter.Outcome.REJECTED), outcome(writer.store(large, DEADLINE_MS)));
            assertTrue(sent.isEmpty());
        }

        @Test
        void shouldReportNotStoredAfterTwoRejectedAttempts() {
            CompletableFuture<IntakeWriter.Outcome> result = writer.store(job("aaaaaaaaaaaaaaaa"), DEADLINE_MS);
            answers.get(0).completeExceptionally(new PlatformException(PlatformException.Effect.NONE, "refused"));
            advance(100);
            answers.get(1).completeExceptionally(new PlatformException(PlatformException.Effect.NONE, "refused"));
            assertTrue(result.isDone());
            assertEquals(Optional.of(IntakeWriter.Outcome.NOT_STORED), outcome(result));
        }
    }
}
