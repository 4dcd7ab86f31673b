package org.pollensill.batch;

import java.util.Objects;

import org.pollensill.worker.Resources;

/**
 * Specification of a job.
 *
 * @param key idempotency key; repeated submissions under one key and team create one job
 * @param team the team whose quota it uses
 * @param kind kind of work; usage and interference are estimated per kind
 * @param command command that each task runs
 * @param tasks number of tasks
 * @param urgency 0 for the most urgent tasks, which preempt less urgent ones
 * @param size declared resources of a task
 * @param durationMs expected run time of a task
 * @param checkpointable whether a task writes a checkpoint when it is evicted
 */
public record JobSpec(
        String key,
        String team,
        String kind,
        String command,
        int tasks,
        int urgency,
        Resources size,
        long durationMs,
        boolean checkpointable) {

    /**
     * Creates a specification.
     *
     * @throws NullPointerException if an argument is null
     * @throws IllegalArgumentException if a number is out of range
     */
    public JobSpec {
        Objects.requireNonNull(key, "key is null");
        Objects.requireNonNull(team, "team is null");
        Objects.requireNonNull(kind, "kind is null");
        Objects.requireNonNull(command, "command is null");
        Objects.requireNonNull(size, "size is null");
        if (tasks < 1 || urgency < 0 || durationMs < 0) {
            throw new IllegalArgumentException(
                    "tasks, urgency or durationMs of " + key + " is out of range: " + tasks + ", " + urgency);
        }
    }

    /**
     * Returns whether the job may preempt less urgent tasks.
     *
     * @return whether it is urgent
     */
    public boolean isUrgent() {
        return urgency == 0;
    }
}
