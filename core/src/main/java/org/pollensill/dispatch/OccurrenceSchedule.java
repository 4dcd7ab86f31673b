package org.pollensill.dispatch;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.TreeSet;

import org.pollensill.queue.AdviceTiming;

/**
 * The next occurrence of each scheduled job. An occurrence takes memory from the time it is due until it is complete, and
 * a bounded number of a job at a time: further ones that are due follow as those are completed.
 */
final class OccurrenceSchedule {

    /** An occurrence of a job, and the time by the wall clock from which on it is open. */
    private record Upcoming(JobState job, int index, long openAtWallMs) {}

    private final TreeSet<Upcoming> upcoming = new TreeSet<>(Comparator.comparingLong(Upcoming::openAtWallMs)
            .thenComparing(next -> next.job().request.id()));
    private final Map<JobState, Upcoming> byJob = new HashMap<>();
    /** The jobs that have as many open occurrences as are allowed. */
    private final Set<JobState> atOpenLimit = new HashSet<>();

    /** Schedules the next occurrence of a job; has no effect if all are open or complete. */
    void add(JobState job) {
        if (!job.request.schedule().isScheduled() || byJob.containsKey(job)) {
            return;
        }
        OptionalInt next = job.nextOccurrence();
        if (next.isEmpty()) {
            return;
        }
        if (!job.mayOpenAnother()) {
            atOpenLimit.add(job);
            return;
        }
        // Advice is asked for ahead, so that tickets are there when the occurrence is due.
        long aheadMs = job.advice().map(AdviceTiming::validMs).orElse(0L);
        Upcoming added =
                new Upcoming(job, next.getAsInt(), job.request.schedule().dueMs(next.getAsInt()) - aheadMs);
        byJob.put(job, added);
        upcoming.add(added);
    }

    /** Removes a job that has ended. */
    void remove(JobState job) {
        atOpenLimit.remove(job);
        Upcoming removed = byJob.remove(job);
        if (removed != null) {
            upcoming.remove(removed);
        }
    }

    /** Schedules the next occurrence of a job of which one is complete. */
    void onComplete(JobState job) {
        if (atOpenLimit.remove(job)) {
            add(job);
        }
    }

    /** Opens the occurrence that is due first, if one is due; the next one of its job is scheduled. */
    Optional<OccurrenceState> openNextDue(long wallMs) {
        while (!upcoming.isEmpty() && upcoming.first().openAtWallMs() <= wallMs) {
            Upcoming next = upcoming.first();
            remove(next.job());
            if (next.job().status.isFinal()) {
                continue;
            }
            boolean opens = !next.job().isOpen(next.index()) && !next.job().isComplete(next.index());
            Optional<OccurrenceState> opened = opens ? Optional.of(next.job().open(next.index())) : Optional.empty();
            add(next.job());
            if (opened.isPresent()) {
                return opened;
            }
        }
        return Optional.empty();
    }
}
