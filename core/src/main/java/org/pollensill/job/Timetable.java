package org.pollensill.job;

/**
 * When the occurrences of a job are due.
 *
 * @param firstDueMs time of day of the first occurrence, since 1970
 * @param intervalMs time between two occurrences
 * @param occurrences number of occurrences; 0 for a job that is due at once and runs once
 */
public record Timetable(long firstDueMs, long intervalMs, int occurrences) {

    /** Due at once, one time. */
    public static final Timetable AT_ONCE = new Timetable(0, 0, 0);

    /**
     * Returns whether the job runs at set times.
     *
     * @return whether it does
     */
    public boolean timed() {
        return occurrences > 0;
    }

    /**
     * Returns how many times the steps run.
     *
     * @return at least 1
     */
    public int times() {
        return Math.max(1, occurrences);
    }

    /**
     * Returns when an occurrence is due.
     *
     * @param occurrence the occurrence, from 0
     * @return the time of day, 0 for a job that is not timed
     */
    public long dueMs(int occurrence) {
        return timed() ? firstDueMs + occurrence * intervalMs : 0;
    }
}
