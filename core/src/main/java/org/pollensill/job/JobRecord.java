package org.pollensill.job;

import java.util.List;
import java.util.Objects;
import java.util.Set;

/**
 * Stored progress of a job. It takes one row, and for a job of many tasks {@linkplain ProgressLayout further rows} with
 * ranges of its tasks.
 *
 * @param status the job's state
 * @param tasks the tasks that have been placed at least once; for a job in a final state those whose
 *     runs are being stopped
 * @param furtherRows numbers of the further rows that are stored
 */
public record JobRecord(JobStatus status, List<TaskRecord> tasks, Set<Integer> furtherRows) {

    /**
     * Creates a record.
     *
     * @throws NullPointerException if an argument is null
     */
    public JobRecord {
        Objects.requireNonNull(status, "status is null");
        tasks = List.copyOf(Objects.requireNonNull(tasks, "tasks is null"));
        furtherRows = Set.copyOf(Objects.requireNonNull(furtherRows, "furtherRows is null"));
    }

    /**
     * Creates a record that takes one row.
     *
     * @param status the job's state
     * @param tasks the tasks that have been placed at least once
     * @throws NullPointerException if an argument is null
     */
    public JobRecord(JobStatus status, List<TaskRecord> tasks) {
        this(status, tasks, Set.of());
    }
}
