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
import org.pollensill.platform.Write;
import org.pollensill.runtime.event.EventLog;

/**
 * Deletes what is stored of jobs that ended long ago. A job's own rows go first and its progress after the store has
 * confirmed that, so that no leader finds a job without its progress and runs it again.
 */
final class JobExpiry {

    private static final EventLog LOG = EventLog.of(JobExpiry.class);

    /** Longest walk over the accepted jobs that may still bring a job after its rows are deleted. */
    static final long MAX_TABLE_READ_MS = 30_000;

    /** Most jobs whose rows are being deleted at once, a small part of the store's writes. */
    private static final int MAX_CONCURRENT_DELETIONS = 25;

    /** Most progress rows in one commit; a transaction holds at most 100 entries. */
    private static final int MAX_DELETIONS_PER_COMMIT = 50;

    /** The jobs in the leader's memory. */
    interface EndedJobs {

        /** Returns the jobs whose recorded end lies before a time. */
        List<String> endedBefore(long timeMs);

        /** Forgets a job. */
        void remove(String id);
    }

    private final Function<Commit, CompletableFuture<CommitOutcome>> store;
    private final EndedJobs jobs;
    private final long retentionMs;
    private final Set<String> deleting = new HashSet<>();
    /** Jobs whose rows are gone, and when that was known. */
    private final Map<String, Long> deletedAtMs = new HashMap<>();

    private final Deque<String> progressToDelete = new ArrayDeque<>();
    private long nowMs;

    /**
     * Creates the expiry.
     *
     * @param store takes commits
     * @param jobs the jobs in memory
     * @param keepMs how long an ended job stays known
     */
    JobExpiry(Function<Commit, CompletableFuture<CommitOutcome>> store, EndedJobs jobs, long retentionMs) {
        this.store = Objects.requireNonNull(store, "store is null");
        this.jobs = Objects.requireNonNull(jobs, "jobs is null");
        this.retentionMs = retentionMs;
    }

    /** Takes progress rows whose jobs are gone; their former leader ended between the two deletions. */
    void addOrphans(Collection<String> ids) {
        progressToDelete.addAll(ids);
    }

    /** Begins to delete the jobs whose time has come and forgets those that are gone for good. */
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
            progressToDelete.add(id);
        });
    }

    /** Takes the deletions of progress that the next commit of the leader may carry. */
    List<Write> takeProgressDeletions() {
        List<Write> writes = new ArrayList<>();
        while (!progressToDelete.isEmpty() && writes.size() < MAX_DELETIONS_PER_COMMIT) {
            writes.add(Write.delete(Tables.progressKey(progressToDelete.poll())));
        }
        return writes;
    }

    /** Takes back deletions that were certainly not written. */
    void restore(List<Write> writes) {
        for (Write write : writes) {
            progressToDelete.addFirst(Tables.jobId(write.key()));
        }
    }
}
