package org.pollensill.job;

import java.util.List;
import java.util.Objects;

/**
 * Stored progress of a job.
 *
 * @param status the job's state
 * @param tasks the tasks that have been placed at least once; empty for a job in a final state
 */
public record JobRecord(JobStatus status, List<TaskRecord> tasks) {

    /**
     * Creates a record.
     *
     * @throws NullPointerException if an argument is null
     */
    public JobRecord {
        Objects.requireNonNull(status, "status is null");
        tasks = List.copyOf(Objects.requireNonNull(tasks, "tasks is null"));
    }
}
