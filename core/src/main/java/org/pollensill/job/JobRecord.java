package org.pollensill.job;

import java.util.List;
import java.util.Objects;

/**
 * What is stored of a job's progress.
 *
 * @param status the job's state
 * @param tasks its tasks; tasks that were never placed are left out, and all tasks of a job in a final state
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
