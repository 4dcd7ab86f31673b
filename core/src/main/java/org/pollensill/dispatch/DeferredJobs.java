package org.pollensill.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

import org.pollensill.job.JobRequest;
import org.pollensill.job.JobTerms;

/**
 * The accepted jobs that have not begun and for which the memory of this leader has no room, by identity and size. They
 * are read again, most urgent first, as others end.
 */
final class DeferredJobs {

    /**
     * A job.
     *
     * @param id its identity
     * @param queue its queue
     * @param priority its priority, the lowest first
     * @param bytes the most memory that it takes
     * @param number its place in the order of arrival
     */
    private record Deferred(String id, String queue, int priority, long bytes, long number) {}

    private static final Comparator<Deferred> BY_URGENCY =
            Comparator.comparingInt(Deferred::priority).thenComparingLong(Deferred::number);

    private final Map<String, Deferred> jobs = new HashMap<>();
    private final TreeSet<Deferred> byUrgency = new TreeSet<>(BY_URGENCY);
    /** The jobs that were cancelled; they need no room, since they end as soon as they are read. */
    private final TreeSet<String> cancelled = new TreeSet<>();

    private long totalBytes;
    private long added;

    static int priority(JobRequest job) {
        return job.terms().map(JobTerms::priority).orElse(Integer.MAX_VALUE);
    }

    void add(JobRequest job, long bytes) {
        if (jobs.containsKey(job.id())) {
            return;
        }
        Deferred deferred = new Deferred(job.id(), job.queue(), priority(job), bytes, added++);
        jobs.put(job.id(), deferred);
        byUrgency.add(deferred);
        totalBytes += bytes;
    }

    boolean contains(String id) {
        return jobs.containsKey(id);
    }

    /** Returns whether a job waits for room and was not cancelled. */
    boolean awaitsRoom(String id) {
        return jobs.containsKey(id) && !cancelled.contains(id);
    }

    void remove(String id) {
        Deferred removed = jobs.remove(id);
        if (removed != null) {
            byUrgency.remove(removed);
            cancelled.remove(id);
            totalBytes -= removed.bytes();
        }
    }

    void cancel(String id) {
        if (jobs.containsKey(id)) {
            cancelled.add(id);
        }
    }

    /** Returns the memory that all of them take. */
    long totalBytes() {
        return totalBytes;
    }

    int size() {
        return jobs.size();
    }

    /** Returns the next jobs to be read: the cancelled ones, then the most urgent ones that fit. */
    List<String> next(long freeBytes, int maxJobs) {
        List<String> next = new ArrayList<>();
        for (String id : cancelled) {
            if (next.size() == maxJobs) {
                return next;
            }
            next.add(id);
        }
        long remainingBytes = freeBytes;
        for (Deferred job : byUrgency) {
            if (next.size() == maxJobs || job.bytes() > remainingBytes) {
                return next;
            }
            if (!cancelled.contains(job.id())) {
                next.add(job.id());
                remainingBytes -= job.bytes();
            }
        }
        return next;
    }

    /** Adds the numbers of jobs to those by queue. */
    void addTo(Map<String, Integer> waitingByQueue) {
        for (Deferred job : jobs.values()) {
            waitingByQueue.merge(job.queue(), 1, Integer::sum);
        }
    }
}
