package org.pollensill.dispatch;

import java.util.Objects;
import java.util.Optional;

import org.pollensill.job.TaskName;

/**
 * How a job of run-to-completion or best-effort tasks fared, with its size and its slowest task.
 *
 * @param job the job
 * @param queue its queue
 * @param result how it fared
 * @param elapsedMs time since this leader knows the job, in milliseconds
 * @param objectiveMs the job's objective in milliseconds
 * @param workMillicoreMs estimated work of all tasks, in thousandths of a core times milliseconds
 * @param steps number of steps
 * @param tasks number of tasks
 * @param doneTasks number of tasks that have completed
 * @param repeatedRuns number of runs beyond the first of each task
 * @param largestNeedMillicores processors of the largest task, in thousandths of a core
 * @param longestWaitMs longest time for which a task that could start had no runner, in milliseconds
 * @param slowestTask the task that waited so long, empty where none has waited
 */
public record JobOutcome(
        String job,
        String queue,
        Result result,
        long elapsedMs,
        long objectiveMs,
        long workMillicoreMs,
        int steps,
        int tasks,
        int doneTasks,
        int repeatedRuns,
        long largestNeedMillicores,
        long longestWaitMs,
        Optional<TaskName> slowestTask) {

    /** Result of a job. */
    public enum Result {
        /** Done within its objective. */
        IN_TIME,
        /** Done after its objective, while completion still had value. */
        LATE,
        /** Not done while completion had value. */
        EXPIRED,
        /** Failed as often as its queue allows. */
        FAILED,
        /** Cancelled by its client. */
        CANCELLED
    }

    /**
     * Creates an outcome.
     *
     * @throws NullPointerException if an argument is null
     */
    public JobOutcome {
        Objects.requireNonNull(job, "job is null");
        Objects.requireNonNull(queue, "queue is null");
        Objects.requireNonNull(result, "result is null");
        Objects.requireNonNull(slowestTask, "slowestTask is null");
    }
}
