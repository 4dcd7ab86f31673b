package org.pollensill.admission;

/**
 * The unfinished work of the jobs of one priority.
 *
 * @param inTimeMillicoreMs work of the jobs that can still meet their objective, in thousandths of a core times
 *     milliseconds
 * @param lateMillicoreMs work of the jobs that are late and whose completion still has value, in the same unit
 * @param arrivingMillicores work that was accepted lately, per millisecond
 */
public record QueuedWork(long inTimeMillicoreMs, long lateMillicoreMs, long arrivingMillicores) {

    /** No work. */
    public static final QueuedWork NONE = new QueuedWork(0, 0, 0);

    /**
     * Creates an amount of work.
     *
     * @throws IllegalArgumentException if an amount is negative
     */
    public QueuedWork {
        if (inTimeMillicoreMs < 0 || lateMillicoreMs < 0 || arrivingMillicores < 0) {
            throw new IllegalArgumentException(
                    "negative work: " + inTimeMillicoreMs + ", " + lateMillicoreMs + ", " + arrivingMillicores);
        }
    }

    QueuedWork plus(QueuedWork other) {
        return new QueuedWork(
                inTimeMillicoreMs + other.inTimeMillicoreMs,
                lateMillicoreMs + other.lateMillicoreMs,
                arrivingMillicores + other.arrivingMillicores);
    }
}
