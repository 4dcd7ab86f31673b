package org.pollensill.dispatch;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.pollensill.job.JobStatus;
import org.pollensill.platform.Write;

/** Changes that one commit writes, with the start orders and acknowledgements to send once they are durable. */
public final class Batch {

    /**
     * A placement whose start order is sent after the commit.
     *
     * @param task the task
     * @param run the run
     */
    record Placement(TaskState task, int run) {}

    private final Map<JobState, BitSet> rows = new LinkedHashMap<>();
    private final Map<JobState, JobStatus> statuses = new LinkedHashMap<>();
    private final List<Placement> placements = new ArrayList<>();
    private final Map<RunnerState, EndNumber> ends = new LinkedHashMap<>();
    private final List<Write> writes = new ArrayList<>();

    Batch() {}

    void add(JobState job, int row, Write write) {
        rows.computeIfAbsent(job, changed -> new BitSet()).set(row);
        writes.add(write);
        if (row == 0) {
            statuses.put(job, job.status);
        }
    }

    int size() {
        return writes.size();
    }

    boolean contains(JobState job, int row) {
        return rows.containsKey(job) && rows.get(job).get(row);
    }

    /** Returns the rows that the commit writes, by job. */
    Map<JobState, BitSet> rows() {
        return rows;
    }

    /** Returns the states that the commit records. */
    Map<JobState, JobStatus> statuses() {
        return statuses;
    }

    List<Placement> placements() {
        return placements;
    }

    Map<RunnerState, EndNumber> ends() {
        return ends;
    }

    /**
     * Returns the writes of the commit.
     *
     * @return the writes, at least one
     */
    public List<Write> writes() {
        return List.copyOf(writes);
    }
}
