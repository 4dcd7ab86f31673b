package org.pollensill.runner;

import java.util.List;
import java.util.Objects;

import org.pollensill.job.TaskName;

/**
 * Report of a runner: its running tasks, and the ended runs that have not been acknowledged yet.
 *
 * @param clockMs reading of the runner's monotonic clock
 * @param incarnationStartMs Unix time of the start of this incarnation, 0 if not reported
 * @param running the running tasks
 * @param ended the ended runs, in the order of their sequence numbers
 */
public record RunnerReport(long clockMs, long incarnationStartMs, List<RunningTask> running, List<EndedRun> ended) {

    /** Maximum number of ended runs that a runner lists in one report. */
    public static final int MAX_LISTED_ENDS = 500;

    /**
     * A running task.
     *
     * @param task the task
     * @param run number of the run
     * @param checkpoint the last checkpoint, empty for none
     * @param percent progress in percent
     * @param measurement tail latency in milliseconds for a task that serves users, processor use in millicores for others
     */
    public record RunningTask(TaskName task, int run, String checkpoint, int percent, long measurement) {

        /**
         * Creates an entry.
         *
         * @throws NullPointerException if an argument is null
         */
        public RunningTask {
            Objects.requireNonNull(task, "task is null");
            Objects.requireNonNull(checkpoint, "checkpoint is null");
        }
    }

    /**
     * A run that has ended.
     *
     * @param sequence sequence number, increasing within one incarnation of the runner
     * @param task the task
     * @param run number of the run
     * @param kind how the run ended
     * @param checkpoint the last checkpoint, empty for none
     */
    public record EndedRun(long sequence, TaskName task, int run, EndKind kind, String checkpoint) {

        /**
         * Creates an entry.
         *
         * @throws NullPointerException if an argument is null
         */
        public EndedRun {
            Objects.requireNonNull(task, "task is null");
            Objects.requireNonNull(kind, "kind is null");
            Objects.requireNonNull(checkpoint, "checkpoint is null");
        }
    }

    /**
     * Creates a report.
     *
     * @throws NullPointerException if an argument is null
     */
    public RunnerReport {
        running = List.copyOf(Objects.requireNonNull(running, "running is null"));
        ended = List.copyOf(Objects.requireNonNull(ended, "ended is null"));
    }

    /**
     * Returns whether further runs may have ended that did not fit into this report.
     *
     * @return whether the list of ended runs is full
     */
    public boolean mayOmitEnds() {
        return ended.size() >= MAX_LISTED_ENDS;
    }
}
