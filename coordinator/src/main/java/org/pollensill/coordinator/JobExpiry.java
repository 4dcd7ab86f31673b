package org.pollensill.coordinator;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

import org.pollensill.platform.Commit;
import org.pollensill.platform.CommitOutcome;
import org.pollensill.platform.Condition;
import org.pollensill.platform.Write;
import org.pollensill.runtime.event.EventLog;

/**
 * Deletes the stored rows of ended jobs after their retention time. A job's rows in the intake table are deleted first,
 * and its progress once the store has confirmed that; otherwise a leader could find a job without progress and run it
 * again. The cancellation of a job that has not come is deleted after the same time, which is far longer than the store
 * may delay a submission.
 */
final class JobExpiry {

    private static final EventLog LOG = EventLog.of(JobExpiry.class);

    /** Maximum duration of a read of the intake table, which may still return a job that was deleted meanwhile. */
    static final long MAX_TABLE_READ_MS = 30_000;

    /** Maximum number of jobs whose deletion is in flight, a small part of the store's write capacity. */
    private static final int MAX_CONCURRENT_DELETIONS = 25;

    /** Maximum number of progress rows deleted in one commit; a transaction holds at most 100 entries. */
    private static final int MAX_DELETIONS_PER_COMMIT = 50;

    /** The ended jobs in the leader's memory. */
    interface EndedJobs {

        /** Returns the ids of the jobs whose recorded end is before a time. */
        List<String> endedBefore(long timeMs);

        /** Removes a job from memory. */
        void remove(String id);

        /** Returns the ids of jobs that have not come and whose cancellation became known before a time. */
        List<String> cancelledEarlyBefore(long timeMs);

        /** Removes the cancellation of a job that has not come from memory. */
        void removeEarlyCancellation(String id);
    }

    private final Function<Commit, CompletableFuture<CommitOutcome>> store;
    private final EndedJobs jobs;
    private final long retentionMs;
    private final Set<String> deleting = new HashSet<>();
    /** Jobs whose intake rows are deleted, with the time of the confirmation. */
    private final Map<String, Long> deletedAtMs = new HashMap<>();

    /** Keys of the progress rows to delete. */
    private final Deque<String> progressToDelete = new ArrayDeque<>();

    private long nowMs;

    /**
     * Creates the expiry.
     *
     * @param store sends a commit to the store
     * @param jobs the ended jobs in memory
     * @param retentionMs the retention time of an ended job
     */
    JobExpiry(Function<Commit, CompletableFuture<CommitOutcome>> store, EndedJobs jobs, long retentionMs) {
        this.store = Objects.requireNonNull(store, "store is null");
        this.jobs = Objects.requireNonNull(jobs, "jobs is null");
        this.retentionMs = retentionMs;
    }

    /** Adds progress rows without a job, left by a leader that ended between the two deletions. */
    void addOrphans(Collection<String> keys) {
        progressToDelete.addAll(keys);
    }

    /** Starts the deletion of jobs past their retention time, and removes jobs from memory that no read can return. */
    void run(long timeMs) {
        nowMs = timeMs;
        for (String id : new ArrayList<>(deletedAtMs.keySet())) {
            if (nowMs - deletedAtMs.get(id) > MAX_TABLE_READ_MS) {
                deletedAtMs.remove(id);
                jobs.remove(id);
            }
        }
        for (String id : jobs.endedBefore(nowMs - retentionMs)) {
            if (deleting.size() >= MAX_CONCURRENT_DELETIONS) {
                return;
            }
            if (!deletedAtMs.containsKey(id) && deleting.add(id)) {
                delete(id);
            }
        }
        for (String id : jobs.cancelledEarlyBefore(nowMs - retentionMs)) {
            if (deleting.size() >= MAX_CONCURRENT_DELETIONS) {
                return;
            }
            if (deleting.add(id)) {
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
            deleting.remove(id);
            if (failure != null) {
                LOG.log(CoordinatorEvent.EXPIRY_FAILED, "job", id, "problem", failure.getMessage());
                return;
            }
            if (outcome instanceof CommitOutcome.Committed) {
                jobs.removeEarlyCancellation(id);
            }
        });
    }

    private void delete(String id) {
        List<Write> rows = List.of(Write.delete(Tables.jobKey(id)), Write.delete(Tables.cancelKey(id)));
        store.apply(new Commit("expired-" + id, List.of(), rows)).whenComplete((outcome, failure) -> {
            deleting.remove(id);
            if (failure != null) {
                LOG.log(CoordinatorEvent.EXPIRY_FAILED, "job", id, "problem", failure.getMessage());
                return;
            }
            deletedAtMs.put(id, nowMs);
            progressToDelete.add(Tables.progressKey(id));
        });
    }

    /** Removes and returns the deletions of progress rows for the next commit of the leader. */
    List<Write> takeProgressDeletions() {
        List<Write> writes = new ArrayList<>();
        while (!progressToDelete.isEmpty() && writes.size() < MAX_DELETIONS_PER_COMMIT) {
            writes.add(Write.delete(progressToDelete.poll()));
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
