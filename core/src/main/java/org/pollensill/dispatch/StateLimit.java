package org.pollensill.dispatch;

import java.util.Comparator;
import java.util.Optional;
import java.util.PriorityQueue;

import org.pollensill.admission.JobMemory;
import org.pollensill.job.JobRequest;

/**
 * Keeps the jobs of a leader within its memory, whatever is stored. A job counts with the most that it takes while it
 * lives. Those that have begun are always kept: a former leader had room for them. For others that do not fit, the least
 * urgent ones are deferred; once the leader sends orders, none that is kept is deferred any more.
 */
final class StateLimit {

    private static final Comparator<JobState> LEAST_URGENT_FIRST = Comparator.<JobState>comparingInt(
                    job -> DeferredJobs.priority(job.request))
            .reversed();

    private final long maxBytes;
    private final StateSize stateSize;
    private final DeferredJobs deferred = new DeferredJobs();
    /** The jobs that have not begun, until the leader sends orders. */
    private final PriorityQueue<JobState> deferrable = new PriorityQueue<>(LEAST_URGENT_FIRST);

    private boolean loading = true;
    private long keptBytes;

    /**
     * Creates a limit.
     *
     * @param maxBytes the memory that jobs may take
     */
    StateLimit(long maxBytes) {
        this.maxBytes = maxBytes;
        this.stateSize = new StateSize(maxBytes);
    }

    /** Returns the memory that the jobs take at present. */
    StateSize stateSize() {
        return stateSize;
    }

    DeferredJobs deferred() {
        return deferred;
    }

    /** Records that all stored jobs were added. */
    void loaded() {
        loading = false;
        deferrable.clear();
    }

    /** Returns what the jobs that are known leave free. */
    long freeBytes() {
        return Math.max(0, maxBytes - keptBytes - deferred.totalBytes());
    }

    /** Returns what the jobs that are kept leave free for those that are deferred. */
    long freeBytesBesideDeferred() {
        return keptBytes == 0 ? Long.MAX_VALUE : Math.max(0, maxBytes - keptBytes);
    }

    /** Returns whether a job that has not begun fits beside those that are kept. */
    boolean hasRoomFor(JobRequest job) {
        // One that exceeds the limit by itself, which has become smaller, is taken alone.
        return keptBytes == 0 || keptBytes + JobMemory.maxBytes(job) <= maxBytes;
    }

    /** Returns the next job to be deferred in favour of another one, empty if none of the kept ones is less urgent. */
    Optional<JobState> leastUrgent(JobRequest inFavourOf, boolean begun) {
        JobState candidate = deferrable.peek();
        boolean found = loading
                && candidate != null
                && (begun || DeferredJobs.priority(candidate.request) > DeferredJobs.priority(inFavourOf));
        return found ? Optional.of(candidate) : Optional.empty();
    }

    void kept(JobState job, boolean begun) {
        keptBytes += JobMemory.maxBytes(job.request);
        deferred.remove(job.request.id());
        if (loading && !begun) {
            deferrable.add(job);
        }
    }

    void removed(JobState job) {
        keptBytes -= JobMemory.maxBytes(job.request);
        deferrable.remove(job);
    }

    void defer(JobRequest job) {
        deferred.add(job, JobMemory.maxBytes(job));
    }
}
