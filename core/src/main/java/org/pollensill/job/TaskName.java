package org.pollensill.job;

import java.util.Objects;
import java.util.Optional;

/**
 * Identity of a task. Its text form is {@code job.occurrence.step.index}.
 *
 * @param jobId the job
 * @param occurrence the occurrence of a recurring job, 0 for other jobs
 * @param step index of the step
 * @param index index of the task within the step
 */
public record TaskName(String jobId, int occurrence, int step, int index) {

    private static final int PARTS = 4;

    /**
     * Creates a name.
     *
     * @throws NullPointerException if {@code jobId} is null
     */
    public TaskName {
        Objects.requireNonNull(jobId, "jobId is null");
    }

    /**
     * Parses the text form of a name.
     *
     * @param text the text
     * @return the name, empty if the text is malformed
     */
    public static Optional<TaskName> parse(String text) {
        String[] parts = Objects.requireNonNull(text, "text is null").split("\\.");
        if (parts.length != PARTS) {
            return Optional.empty();
        }
        try {
            return Optional.of(new TaskName(
                    parts[0], Integer.parseInt(parts[1]), Integer.parseInt(parts[2]), Integer.parseInt(parts[3])));
        } catch (NumberFormatException e) {
            // The text comes from outside and may be malformed; it then denotes no task.
            return Optional.empty();
        }
    }

    @Override
    public String toString() {
        return jobId + "." + occurrence + "." + step + "." + index;
    }
}
