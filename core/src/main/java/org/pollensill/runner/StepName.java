package org.pollensill.runner;

import java.util.Objects;

/**
 * Name of a step of one occurrence of a job.
 *
 * @param jobId the job
 * @param occurrence index of the occurrence
 * @param step index of the step
 */
public record StepName(String jobId, int occurrence, int step) {

    /**
     * Creates a name.
     *
     * @throws NullPointerException if {@code jobId} is null
     */
    public StepName {
        Objects.requireNonNull(jobId, "jobId is null");
    }

    @Override
    public String toString() {
        return jobId + "." + occurrence + "." + step;
    }
}
