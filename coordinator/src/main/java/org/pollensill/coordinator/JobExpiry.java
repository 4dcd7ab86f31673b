package org.pollensill.coordinator;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Function;

import org.pollensill.job.EndedJobs;
import org.pollensill.job.JobCodec;
import org.pollensill.platform.Commit;
import org.pollensill.platform.CommitOutcome;
import org.pollensill.platform.Condition;
import org.pollensill.platform.Write;
import org.pollensill.runtime.event.EventLog;

/**
 * Reduces the stored rows of ended jobs to their state, and deletes them after their retention time. Many jobs of a
 * partition share a transaction, so the store is relieved at any rate at which it takes jobs.
 *
 * <p>Soon after its end the row of a job is replaced by its final state; its progress is deleted once no read can return
 * the former row any more, since a leader that finds a job without progress would run it again. The cancellation of a
 * job that has not come is deleted after the retention time, which is far longer than the store may delay a submission.
 */
final class JobExpiry {

    private static final EventLog LOG = EventLog.of(JobExpiry.class);

    /** Maximum duration of a read of the intake table, which may still return a row as it was before. */
    static final long MAX_TABLE_READ_MS = 30_000;

    /** Time after the end of a job at which its row is reduced; the last queries of its client are over by then. */
    static final long REDUCE_AFTER_MS = 5_000;

    /** Maximum number of jobs in one transaction, which holds at most 100 entries, two a job. */
    static final int MAX_JOBS_PER_COMMIT = 50;

    /** Maximum number of jobs whose rows are changed in a run, a small part of the store's write capacity. */
    private static final int MAX_JOBS_PER_RUN = 1_600;

    /** Maximum number of calls of a stage at a time, so that they do not hold the connections that commits need. */
    static final int MAX_CONCURRENT_CALLS = 2;

    /** Maximum number of cancellations of jobs that have not come that are being deleted. */
    private static final int MAX_CONCURRENT_CANCELLATIONS = 25;

    /** The cancellations in the leader's memory of jobs that have not come. */
    interface EarlyCancellations {

        /** Returns the ids of the jobs whose cancellation became known before a time. */
        List<String> before(long timeMs);

        /** Removes a cancellation from memory. */
        void remove(String id);
    }

    /** Jobs whose rows were changed at a time. */
    private record Changed(List<String> ids, long atMs) {}

    /** One of the two changes of the rows of ended jobs. */
    private final class Stage {

        private final EndedJobs.Cursor cursor = new EndedJobs.Cursor();
        private final Deque<String> retries = new ArrayDeque<>();
        private final Function<String, List<Write>> writes;
        private final Consumer<List<String>> onChanged;
        private final String name;
        /** The batches that wait for a call, each of one partition. */
        private final Deque<List<String>> batches = new ArrayDeque<>();

        private int calls;

        private Stage(String name, Function<String, List<Write>> writes, Consumer<List<String>> onChanged) {
            this.name = name;
            this.writes = writes;
            this.onChanged = onChanged;
        }

        private void run(long endedBeforeMs) {
            if (!batches.isEmpty()) {
                return;
            }
            List<String> ids = new ArrayList<>();
            while (!retries.isEmpty() && ids.size() < MAX_JOBS_PER_RUN) {
                ids.add(retries.poll());
            }
            ids.addAll(ended.takeEndedBefore(cursor, endedBeforeMs, MAX_JOBS_PER_RUN - ids.size()));
            Map<String, List<String>> partitions = new LinkedHashMap<>();
            for (String id : ids) {
                if (needsChange(id)) {
                    partitions
                            .computeIfAbsent(Tables.intakePartition(id), partition -> new ArrayList<>())
                            .add(id);
                }
            }
            for (List<String> partition : partitions.values()) {
                for (int from = 0; from < partition.size(); from += MAX_JOBS_PER_COMMIT) {
                    batches.add(partition.subList(from, Math.min(partition.size(), from + MAX_JOBS_PER_COMMIT)));
                }
            }
            sendNext();
        }

        private void sendNext() {
            while (calls < MAX_CONCURRENT_CALLS && !batches.isEmpty()) {
                send(batches.poll());
            }
        }

        private boolean needsChange(String id) {
            return this == deletion || !ended.isCompact(id);
        }

        private void send(List<String> ids) {
            calls++;
            List<Write> rows = new ArrayList<>();
            ids.forEach(id -> rows.addAll(writes.apply(id)));
            Commit commit = new Commit(name + "-" + ids.get(0), List.of(), rows);
            store.apply(commit).whenComplete((outcome, failure) -> {
                calls--;
                if (failure == null) {
                    onChanged.accept(ids);
                    sendNext();
                    return;
                }
                LOG.log(
                        CoordinatorEvent.EXPIRY_FAILED,
                        "change",
                        name,
                        "jobs",
                        ids.size(),
                        "problem",
                        failure.getMessage());
                // The others wait for the next run, since a store that fails needs no further calls.
                retries.addAll(ids);
                batches.forEach(retries::addAll);
                batches.clear();
            });
        }
    }

    private final Function<Commit, CompletableFuture<CommitOutcome>> store;
    private final EndedJobs ended;
    private final EarlyCancellations earlyCancellations;
    private final long retentionMs;
    private final Stage reduction = new Stage("reduced", this::reducedRows, this::onReduced);
    private final Stage deletion = new Stage("expired", JobExpiry::deletedRows, this::onDeleted);
    private final Deque<Changed> reduced = new ArrayDeque<>();
    private final Deque<Changed> deleted = new ArrayDeque<>();
    private final Set<String> deletingCancellations = new HashSet<>();
    /** Keys of progress rows to delete. */
    private final Deque<String> progressToDelete = new ArrayDeque<>();

    private Iterator<String> orphans = Collections.emptyIterator();
    private boolean reductionAllowed;
    private long nowMs;

    /**
     * Creates the expiry.
     *
     * @param store sends a commit to the store
     * @param ended the ended jobs in memory
     * @param earlyCancellations the cancellations in memory of jobs that have not come
     * @param retentionMs the retention time of an ended job
     */
    JobExpiry(
            Function<Commit, CompletableFuture<CommitOutcome>> store,
            EndedJobs ended,
            EarlyCancellations earlyCancellations,
            long retentionMs) {
        this.store = Objects.requireNonNull(store, "store is null");
        this.ended = Objects.requireNonNull(ended, "ended is null");
        this.earlyCancellations = Objects.requireNonNull(earlyCancellations, "earlyCancellations is null");
        this.retentionMs = retentionMs;
    }

    /** Sets whether all coordinators can read a row that was reduced to the state of its job. */
    void allowReduction(boolean allowed) {
        reductionAllowed = allowed;
    }

    /** Adds progress rows without a job, left by a leader that ended between the two deletions. */
    void addOrphans(Iterator<String> keys) {
        orphans = keys;
    }

    /** Changes the rows of the jobs whose time has come, and forgets the jobs that no read can return. */
    void run(long timeMs) {
        nowMs = timeMs;
        while (!deleted.isEmpty() && nowMs - deleted.peek().atMs() > MAX_TABLE_READ_MS) {
            deleted.poll().ids().forEach(ended::remove);
        }
        while (!reduced.isEmpty() && nowMs - reduced.peek().atMs() > MAX_TABLE_READ_MS) {
            reduced.poll().ids().forEach(id -> progressToDelete.add(Tables.progressKey(id)));
        }
        if (reductionAllowed) {
            reduction.run(nowMs - Math.min(REDUCE_AFTER_MS, retentionMs));
        }
        deletion.run(nowMs - retentionMs);
        deleteEarlyCancellations();
    }

    private List<Write> reducedRows(String id) {
        Optional<String> state = ended.status(id).map(JobCodec::encodeEnded);
        if (state.isEmpty()) {
            return List.of();
        }
        return List.of(Write.put(Tables.jobKey(id), state.get()), Write.delete(Tables.cancelKey(id)));
    }

    private void onReduced(List<String> ids) {
        ids.forEach(ended::markCompact);
        reduced.add(new Changed(List.copyOf(ids), nowMs));
    }

    private static List<Write> deletedRows(String id) {
        return List.of(Write.delete(Tables.jobKey(id)), Write.delete(Tables.cancelKey(id)));
    }

    private void onDeleted(List<String> ids) {
        deleted.add(new Changed(List.copyOf(ids), nowMs));
        for (String id : ids) {
            if (!ended.isCompact(id)) {
                progressToDelete.add(Tables.progressKey(id));
            }
        }
    }

    private void deleteEarlyCancellations() {
        for (String id : earlyCancellations.before(nowMs - retentionMs)) {
            if (deletingCancellations.size() >= MAX_CONCURRENT_CANCELLATIONS) {
                return;
            }
            if (deletingCancellations.add(id)) {
                deleteEarlyCancellation(id);
            }
        }
    }

    /** Deletes the cancellation of a job that has not come, on the condition that it still has not. */
    private void deleteEarlyCancellation(String id) {
        Commit commit = new Commit(
                "expired-" + id,
                List.of(Condition.absent(Tables.jobKey(id))),
                List.of(Write.delete(Tables.cancelKey(id))));
        store.apply(commit).whenComplete((outcome, failure) -> {
            deletingCancellations.remove(id);
            if (failure != null) {
                LOG.log(CoordinatorEvent.EXPIRY_FAILED, "job", id, "problem", failure.getMessage());
                return;
            }
            if (outcome instanceof CommitOutcome.Committed) {
                earlyCancellations.remove(id);
            }
        });
    }

    /** Removes and returns deletions of progress rows for the next commit of the leader, at most as many as it has room for. */
    List<Write> takeProgressDeletions(int room) {
        List<Write> writes = new ArrayList<>();
        while (!progressToDelete.isEmpty() && writes.size() < room) {
            writes.add(Write.delete(progressToDelete.poll()));
        }
        while (orphans.hasNext() && writes.size() < room) {
            writes.add(Write.delete(orphans.next()));
        }
        return writes;
    }

    /** Adds deletions again whose commit certainly did not take effect. */
    void restore(List<Write> writes) {
        for (Write write : writes) {
            progressToDelete.addFirst(write.key());
        }
    }
}
