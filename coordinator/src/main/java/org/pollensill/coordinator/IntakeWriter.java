package org.pollensill.coordinator;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;

import org.pollensill.job.JobCodec;
import org.pollensill.job.JobRequest;
import org.pollensill.platform.Commit;
import org.pollensill.platform.CommitOutcome;
import org.pollensill.platform.Condition;
import org.pollensill.platform.PlatformException;
import org.pollensill.platform.TableService;
import org.pollensill.platform.Write;

/**
 * Stores accepted jobs, several in one transaction. Each job is written under the condition that it is absent, so that
 * a repeat at any coordinator is the same job.
 */
final class IntakeWriter {

    /** What is known about a job after an attempt to store it. */
    enum Outcome {
        /** It is stored. */
        STORED,
        /** It is not stored and never will be by this attempt. */
        NOT_STORED,
        /** It may have been stored, or will be. */
        UNKNOWN
    }

    /** Most jobs in one transaction, half of what the store takes. */
    private static final int MAX_BATCH_JOBS = 50;

    /** Most bytes in one transaction; the store takes 1 MB with a third more for its encoding. */
    private static final int MAX_BATCH_BYTES = 500_000;

    private static final long RETRY_DELAY_MS = 60;

    /**
     * Longest wait for a store that answers nothing, a third of the clients' usual deadline. A client that is told that the outcome is
     * unknown repeats its job elsewhere, and has time left for it.
     */
    static final long SILENCE_TIMEOUT_MS = 1_000;

    /** A job that was certainly not written is tried this often before it is refused. */
    private static final int MAX_FAILED_ATTEMPTS = 2;

    private static final class PendingJob {
        private final String id;
        private final String value;
        private final long deadlineMs;
        private final CompletableFuture<Outcome> result = new CompletableFuture<>();
        private int failedAttempts;
        private boolean mayBeWritten;
        private boolean inFlight;

        private PendingJob(String id, String value, long deadlineMs) {
            this.id = id;
            this.value = value;
            this.deadlineMs = deadlineMs;
        }
    }

    /** Jobs of one partition; at most one transaction of it is in flight. */
    private static final class PartitionQueue {
        private final Deque<PendingJob> jobs = new ArrayDeque<>();
        private boolean inFlight;
    }

    private final LongSupplier clockMs;
    private final BiConsumer<Long, Runnable> timer;
    private final TableService store;
    private final StoreHealth health;
    private final String commitPrefix;
    private final Map<String, PartitionQueue> queues = new HashMap<>();
    private long commitCount;

    /**
     * Creates an intake.
     *
     * @param clockMs the monotonic time
     * @param timer runs an action after a delay in milliseconds
     * @param store the platform's store
     * @param health watches the calls
     * @param commitPrefix beginning of the commits' identities
     */
    IntakeWriter(
            LongSupplier clockMs,
            BiConsumer<Long, Runnable> timer,
            TableService store,
            StoreHealth health,
            String commitPrefix) {
        this.clockMs = clockMs;
        this.timer = timer;
        this.store = store;
        this.health = health;
        this.commitPrefix = commitPrefix;
    }

    /**
     * Stores a job.
     *
     * @param job the job
     * @param deadlineMs monotonic time at which the outcome must be known or given up
     * @return the outcome
     */
    CompletableFuture<Outcome> store(JobRequest request, long deadlineMs) {
        PendingJob job = new PendingJob(request.id(), JobCodec.encode(request), deadlineMs);
        PartitionQueue queue =
                queues.computeIfAbsent(Tables.intakePartition(request.id()), partition -> new PartitionQueue());
        queue.jobs.add(job);
        scheduleTimeout(queue, job);
        sendBatch(queue);
        return job.result;
    }

    private void scheduleTimeout(PartitionQueue queue, PendingJob job) {
        long remainingMs = Math.max(0, job.deadlineMs - clockMs.getAsLong());
        timer.accept(Math.min(SILENCE_TIMEOUT_MS, remainingMs), () -> onTimeout(queue, job));
    }

    /** Gives a job its final answer: it is refused if it was never sent, and uncertain otherwise. */
    private void onTimeout(PartitionQueue queue, PendingJob job) {
        if (job.result.isDone()) {
            return;
        }
        boolean storeResponsive =
                health.sinceLastAnswerMs() < SILENCE_TIMEOUT_MS && clockMs.getAsLong() < job.deadlineMs;
        if (storeResponsive) {
            scheduleTimeout(queue, job);
            return;
        }
        boolean possiblyWritten = job.inFlight || job.mayBeWritten;
        queue.jobs.remove(job);
        job.result.complete(possiblyWritten ? Outcome.UNKNOWN : Outcome.NOT_STORED);
    }

    private void sendBatch(PartitionQueue queue) {
        if (queue.inFlight || queue.jobs.isEmpty()) {
            return;
        }
        Map<String, PendingJob> batch = new LinkedHashMap<>();
        List<Condition> conditions = new ArrayList<>();
        List<Write> writes = new ArrayList<>();
        int bytes = 0;
        while (!queue.jobs.isEmpty() && batch.size() < MAX_BATCH_JOBS) {
            PendingJob next = queue.jobs.peek();
            if (!batch.isEmpty() && bytes + next.value.length() > MAX_BATCH_BYTES) {
                break;
            }
            String key = Tables.jobKey(next.id);
            if (batch.containsKey(key)) {
                // Two requests for one job; the second waits for the outcome of the first.
                break;
            }
            queue.jobs.poll();
            next.inFlight = true;
            batch.put(key, next);
            conditions.add(Condition.absent(key));
            writes.add(Write.put(key, next.value));
            bytes += next.value.length();
        }
        queue.inFlight = true;
        Commit commit = new Commit(commitPrefix + "-" + commitCount++, conditions, writes);
        health.track(store.commit(commit)).whenComplete((outcome, failure) -> {
            queue.inFlight = false;
            batch.values().forEach(job -> job.inFlight = false);
            if (failure == null) {
                onOutcome(queue, batch, outcome);
                sendBatch(queue);
                return;
            }
            onFailure(queue, batch, PlatformException.effectOf(failure));
            timer.accept(RETRY_DELAY_MS, () -> sendBatch(queue));
        });
    }

    private void onOutcome(PartitionQueue queue, Map<String, PendingJob> batch, CommitOutcome outcome) {
        if (outcome instanceof CommitOutcome.Conflicted conflict) {
            List<PendingJob> retries = new ArrayList<>();
            for (Map.Entry<String, PendingJob> entry : batch.entrySet()) {
                if (conflict.versions().containsKey(entry.getKey())) {
                    entry.getValue().result.complete(Outcome.STORED);
                } else if (!entry.getValue().result.isDone()) {
                    retries.add(entry.getValue());
                }
            }
            requeue(queue, retries);
            return;
        }
        batch.values().forEach(job -> job.result.complete(Outcome.STORED));
    }

    private void onFailure(PartitionQueue queue, Map<String, PendingJob> batch, PlatformException.Effect effect) {
        List<PendingJob> retries = new ArrayList<>();
        for (PendingJob job : batch.values()) {
            job.mayBeWritten |= effect == PlatformException.Effect.UNKNOWN;
            job.failedAttempts++;
            if (job.result.isDone()) {
                continue;
            }
            if (!job.mayBeWritten && job.failedAttempts >= MAX_FAILED_ATTEMPTS) {
                job.result.complete(Outcome.NOT_STORED);
            } else if (clockMs.getAsLong() + RETRY_DELAY_MS >= job.deadlineMs) {
                job.result.complete(job.mayBeWritten ? Outcome.UNKNOWN : Outcome.NOT_STORED);
            } else {
                retries.add(job);
            }
        }
        requeue(queue, retries);
    }

    private static void requeue(PartitionQueue queue, List<PendingJob> retries) {
        for (int i = retries.size() - 1; i >= 0; i--) {
            queue.jobs.addFirst(retries.get(i));
        }
    }
}
