package org.pollensill.dispatch;

import java.util.Collection;

/**
 * The memory that a leader's state takes, by the number of its objects. Jobs are turned away while it is above its
 * limit, so that the heap also holds what is being read, written and sent.
 */
final class StateSize {

    /** Bytes of a job without its steps and its payload. */
    static final long JOB_BYTES = 1_000;

    /** Bytes of a step without its tasks. */
    static final long STEP_BYTES = 700;

    /** Bytes of a task that has an object. */
    static final long TASK_BYTES = 500;

    /** Part of its limit to which the state has to shrink before jobs are accepted again. */
    private static final double RESUME_FRACTION = 0.9;

    private final long maxBytes;
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
        full = bytes > (full ? RESUME_FRACTION * maxBytes : maxBytes);
        return full;
    }

    static long bytes(JobState job) {
        long bytes = JOB_BYTES + job.request.payload().length() + job.arrayBytes();
        for (StepState step : job.openSteps()) {
            bytes += STEP_BYTES + step.tasks.objectCount() * TASK_BYTES + step.tasks.arrayBytes();
        }
        return bytes;
    }
}
