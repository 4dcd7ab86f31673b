package org.pollensill.dispatch;

import java.util.Collection;

import org.pollensill.admission.JobMemory;

/**
 * The memory that a leader's state takes, by the number of its objects. Jobs are turned away while it is above its
 * limit, so that the heap also holds what is being read, written and sent.
 */
final class StateSize {

    /** Part of its limit to which the state has to shrink before jobs are accepted again. */
    private static final double RESUME_FRACTION = 0.9;

    /** Multiple of the limit up to which waiting tasks get an object and are placed. */
    private static final double MAX_TASKS_FACTOR = 1.25;

    private final long maxBytes;
    private long measuredBytes;
    private long addedBytes;
    private boolean full;

    /**
     * Creates a measure.
     *
     * @param maxBytes the limit
     */
    StateSize(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Measures the jobs, and returns whether no further ones can be held. */
    boolean measure(Collection<JobState> jobs) {
        long bytes = 0;
        for (JobState job : jobs) {
            bytes += bytes(job);
        }
        measuredBytes = bytes;
        addedBytes = 0;
        full = bytes > (full ? RESUME_FRACTION * maxBytes : maxBytes);
        return full;
    }

    /** Records that a task got its object since the last measurement. */
    void taskAdded() {
        addedBytes += JobMemory.TASK_BYTES;
    }

    /** Returns whether tasks without an object may get one. */
    boolean hasRoomForTasks() {
        return measuredBytes + addedBytes < MAX_TASKS_FACTOR * maxBytes;
    }

    static long bytes(JobState job) {
        long bytes = JobMemory.JOB_BYTES + job.request.payload().length() + job.arrayBytes();
        for (StepState step : job.openSteps()) {
            bytes += JobMemory.STEP_BYTES + step.tasks.objectCount() * JobMemory.TASK_BYTES + step.tasks.arrayBytes();
        }
        return bytes;
    }
}
