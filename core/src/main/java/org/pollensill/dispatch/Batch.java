package org.pollensill.dispatch;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.pollensill.job.JobCodec;
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

    private final Map<JobState, JobStatus> statuses = new LinkedHashMap<>();
    private final List<Placement> placements = new ArrayList<>();
    private final Map<RunnerState, Long> ends = new LinkedHashMap<>();
    private final List<Write> writes = new ArrayList<>();

    Batch() {}

    void add(JobState job, String key) {
        statuses.put(job, job.status);
        writes.add(Write.put(key, JobCodec.encode(job.record())));
    }

    Map<JobState, JobStatus> statuses() {
        return statuses;
    }

    List<Placement> placements() {
        return placements;
    }

    Map<RunnerState, Long> ends() {
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
