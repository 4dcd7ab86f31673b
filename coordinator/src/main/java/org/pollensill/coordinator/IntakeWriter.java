package org.pollensill.coordinator;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
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
import org.pollensill.runtime.event.EventLog;

/**
 * Writes accepted jobs to the intake table, several in one transaction. Each write is conditional on the job being
 * absent, so that a retry of a client is idempotent at any coordinator.
 */
final class IntakeWriter {

    /** The outcome of storing a job, as far as it is known. */
    enum Outcome {
        /** The job is stored. */
        STORED,
        /** The job is not stored, and no call in flight can still store it. */
        NOT_STORED,
        /** The job is not stored, and the store will not take its content. */
        REJECTED,
        /** The job may be stored, or a call in flight may still store it. */
        UNKNOWN
    }

    /** Receives the version of the row of a job that was written. */
    @FunctionalInterface
    interface StoredListener {
        void accept(String jobId, long version);
    }

    private static final EventLog LOG = EventLog.of(IntakeWriter.class);

    /** Maximum number of jobs in one transaction, half of the store's limit. */
    private static final int MAX_BATCH_JOBS = 50;

    /** Maximum size of one transaction; the store's limit is 1 MB, and its encoding adds a third. */
    private static final int MAX_BATCH_BYTES = 500_000;

    private static final long RETRY_DELAY_MS = 60;

    /**
     * Time without any answer of the store after which a job gets its outcome, a third of the clients' usual deadline,
     * so that a client with an unknown outcome has time left to retry at another coordinator.
     */
    static final long SILENCE_TIMEOUT_MS = 1_000;

    /** Number of failed attempts after which a job that was certainly not written is refused. */
    private static final int MAX_FAILED_ATTEMPTS = 2;

    private static final class PendingJob {
        private final String id;
        private final String value;
        private final int bytes;
        private final long deadlineMs;
        private final CompletableFuture<Outcome> result = new CompletableFuture<>();
        private int failedAttempts;
        private boolean mayBeWritten;
        private boolean inFlight;

        private PendingJob(String id, String value, long deadlineMs) {
            this.id = id;
            this.value = value;
            this.bytes = value.getBytes(StandardCharsets.UTF_8).length;
            this.deadlineMs = deadlineMs;
        }
    }

    /** The jobs that wait for one partition; at most one transaction per partition is in flight. */
    private static final class PartitionQueue {
        private final Deque<PendingJob> jobs = new ArrayDeque<>();
        private boolean inFlight;
        /** Maximum number of jobs in the next transaction, lower after one was rejected for its content. */
        private int maxBatchJobs = MAX_BATCH_JOBS;
    }

    private final LongSupplier clockMs;
    private final BiConsumer<Long, Runnable> timer;
    private final TableService store;
    private final StoreHealth health;
    private final String commitPrefix;
    private final long maxRowBytes;
    private final StoredListener onStored;
    private final Map<String, PartitionQueue> queues = new HashMap<>();
    private long commitCount;

    /**
     * Creates a writer.
     *
     * @param clockMs the monotonic clock
     * @param timer runs an action after a delay in milliseconds
     * @param store the platform's store
     * @param health tracks the outcome of the calls
     * @param commitPrefix prefix of the commit ids
     * @param maxRowBytes the maximum size of a row in the store
     * @param onStored receives each job that was written
     */
    IntakeWriter(
            LongSupplier clockMs,
            BiConsumer<Long, Runnable> timer,
            TableService store,
            StoreHealth health,
            String commitPrefix,
            long maxRowBytes,
            StoredListener onStored) {
        this.clockMs = clockMs;
        this.timer = timer;
        this.store = store;
        this.health = health;
        this.commitPrefix = commitPrefix;
        this.maxRowBytes = maxRowBytes;
        this.onStored = onStored;
    }

    /**
     * Stores a job.
     *
     * @param request the job
     * @param deadlineMs the monotonic time by which the result completes
     * @return the outcome
     */
    CompletableFuture<Outcome> store(JobRequest request, long deadlineMs) {
        PendingJob pending = new PendingJob(request.id(), JobCodec.encode(request), deadlineMs);
        if (pending.bytes > maxRowBytes) {
            return CompletableFuture.completedFuture(Outcome.REJECTED);
        }
        PartitionQueue queue =
                queues.computeIfAbsent(Tables.intakePartition(request.id()), partition -> new PartitionQueue());
        queue.jobs.add(pending);
        scheduleTimeout(queue, pending);
        sendBatch(queue);
        return pending.result;
    }

    private void scheduleTimeout(PartitionQueue queue, PendingJob pending) {
        long remainingMs = Math.max(0, pending.deadlineMs - clockMs.getAsLong());
        timer.accept(Math.min(SILENCE_TIMEOUT_MS, remainingMs), () -> onTimeout(queue, pending));
    }

    /** Completes a job on a timeout: as not stored if it was certainly not written, as unknown otherwise. */
    private void onTimeout(PartitionQueue queue, PendingJob pending) {
        if (pending.result.isDone()) {
            return;
        }
        boolean storeResponsive =
                health.sinceLastAnswerMs() < SILENCE_TIMEOUT_MS && clockMs.getAsLong() < pending.deadlineMs;
        if (storeResponsive) {
            scheduleTimeout(queue, pending);
            return;
        }
        boolean possiblyWritten = pending.inFlight || pending.mayBeWritten;
        queue.jobs.remove(pending);
        pending.result.complete(possiblyWritten ? Outcome.UNKNOWN : Outcome.NOT_STORED);
    }

    private void sendBatch(PartitionQueue queue) {
        if (queue.inFlight || queue.jobs.isEmpty()) {
            return;
        }
        Map<String, PendingJob> batch = new LinkedHashMap<>();
        List<Condition> conditions = new ArrayList<>();
        List<Write> writes = new ArrayList<>();
        int bytes = 0;
        while (!queue.jobs.isEmpty() && batch.size() < queue.maxBatchJobs) {
            PendingJob next = queue.jobs.peek();
            if (!batch.isEmpty() && bytes + next.bytes > MAX_BATCH_BYTES) {
                break;
            }
            String key = Tables.jobKey(next.id);
            if (batch.containsKey(key)) {
                // A second request for the same job waits for the outcome of the first.
                break;
            }
            queue.jobs.poll();
            next.inFlight = true;
            batch.put(key, next);
            conditions.add(Condition.absent(key));
            writes.add(Write.put(key, next.value));
            bytes += next.bytes;
        }
        queue.inFlight = true;
        Commit commit = new Commit(commitPrefix + "-" + commitCount++, conditions, writes);
        health.track(store.commit(commit)).whenComplete((outcome, failure) -> {
            queue.inFlight = false;
            batch.values().forEach(pending -> pending.inFlight = false);
            if (failure == null) {
                queue.maxBatchJobs = MAX_BATCH_JOBS;
                onOutcome(queue, batch, outcome);
                sendBatch(queue);
                return;
            }
            PlatformException.Effect effect = PlatformException.effectOf(failure);
            if (effect == PlatformException.Effect.REJECTED) {
                onRejected(queue, batch);
            } else {
                onFailure(queue, batch, effect);
            }
            timer.accept(RETRY_DELAY_MS, () -> sendBatch(queue));
        });
    }

    private void onOutcome(PartitionQueue queue, Map<String, PendingJob> batch, CommitOutcome outcome) {
        if (outcome instanceof CommitOutcome.Conflicted conflict) {
            List<PendingJob> retries = new ArrayList<>();
            for (Map.Entry<String, PendingJob> entry : batch.entrySet()) {
                if (conflict.versions().containsKey(entry.getKey())) {
                    onStored.accept(entry.getValue().id, conflict.versions().get(entry.getKey()));
                    entry.getValue().result.complete(Outcome.STORED);
                } else if (!entry.getValue().result.isDone()) {
                    retries.add(entry.getValue());
                }
            }
            requeue(queue, retries);
            return;
        }
        Map<String, Long> versions =
                outcome instanceof CommitOutcome.Committed committed ? committed.versions() : Map.of();
        batch.forEach((key, pending) -> {
            Optional.ofNullable(versions.get(key)).ifPresent(version -> onStored.accept(pending.id, version));
            pending.result.complete(Outcome.STORED);
        });
    }

    /** Splits a transaction that the store rejects for its content until the job that causes this is alone. */
    private void onRejected(PartitionQueue queue, Map<String, PendingJob> batch) {
        LOG.log(CoordinatorEvent.COMMIT_REJECTED, "jobs", batch.size());
        if (batch.size() > 1) {
            queue.maxBatchJobs = batch.size() / 2;
            requeue(
                    queue,
                    batch.values().stream()
                            .filter(pending -> !pending.result.isDone())
                            .toList());
            return;
        }
        queue.maxBatchJobs = MAX_BATCH_JOBS;
        batch.values()
                .forEach(pending -> pending.result.complete(pending.mayBeWritten ? Outcome.UNKNOWN : Outcome.REJECTED));
    }

    private void onFailure(PartitionQueue queue, Map<String, PendingJob> batch, PlatformException.Effect effect) {
        List<PendingJob> retries = new ArrayList<>();
        for (PendingJob pending : batch.values()) {
            pending.mayBeWritten |= effect == PlatformException.Effect.UNKNOWN;
            pending.failedAttempts++;
            if (pending.result.isDone()) {
                continue;
            }
            if (!pending.mayBeWritten && pending.failedAttempts >= MAX_FAILED_ATTEMPTS) {
                pending.result.complete(Outcome.NOT_STORED);
            } else if (clockMs.getAsLong() + RETRY_DELAY_MS >= pending.deadlineMs) {
                pending.result.complete(pending.mayBeWritten ? Outcome.UNKNOWN : Outcome.NOT_STORED);
            } else {
                retries.add(pending);
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
