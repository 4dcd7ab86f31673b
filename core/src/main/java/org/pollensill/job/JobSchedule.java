package org.pollensill.job;

/**
 * Due times of the occurrences of a job.
 *
 * @param firstDueMs due time of the first occurrence, as Unix time (since 1970)
 * @param intervalMs time between the due times of two occurrences
 * @param occurrences number of occurrences; 0 for a job that is due at once and runs once
 */
public record JobSchedule(long firstDueMs, long intervalMs, int occurrences) {

    /** A job that is due at once and runs once. */
    public static final JobSchedule AT_ONCE = new JobSchedule(0, 0, 0);

    /**
     * Returns whether the job has a schedule.
     *
     * @return true if it has occurrences with due times
     */
    public boolean isScheduled() {
        return occurrences > 0;
    }

    /**
     * Returns the number of times that the steps run.
     *
     * @return the number of times, at least 1
     */
    public int occurrenceCount() {
        return Math.max(1, occurrences);
    }

    /**
     * Returns when an occurrence is due.
     *
     * @param occurrence index of the occurrence, from 0
     * @return the due time as Unix time, 0 for a job without a schedule
     */
    public long dueMs(int occurrence) {
        return isScheduled() ? firstDueMs + occurrence * intervalMs : 0;
    }
}
