package org.pollensill.runner;

import java.util.List;
import java.util.Objects;

import org.pollensill.job.TaskName;

/**
 * What a runner reports: everything that runs, and the ends that were not acknowledged yet.
 *
 * @param clockMs the runner's steady clock
 * @param bornMs start of this life of the runner
 * @param running what runs
 * @param ended the ends in their order
 */
public record RunnerReport(long clockMs, long bornMs, List<RunningTask> running, List<EndedRun> ended) {

    /**
     * A task at work.
     *
     * @param task the task
     * @param run its run
     * @param checkpoint its saved progress, empty for none
     * @param percent how far it is
     * @param figure tail latency in milliseconds of a task that serves, processors in use of another one
     */
    public record RunningTask(TaskName task, int run, String checkpoint, int percent, long figure) {

        /**
         * Creates a row.
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
     * @param number the end's number, rising within one life of the runner
     * @param task the task
     * @param run its run
     * @param kind how it ended
     * @param checkpoint its saved progress, empty for none
     */
    public record EndedRun(long number, TaskName task, int run, EndKind kind, String checkpoint) {

        /**
         * Creates a row.
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
}
