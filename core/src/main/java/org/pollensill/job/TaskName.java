package org.pollensill.job;

import java.util.Objects;
import java.util.Optional;

/**
 * Identity of a task. Its text is {@code job.occurrence.step.index}.
 *
 * @param jobId the job
 * @param occurrence the occurrence of a timed job, 0 for others
 * @param step the step's number
 * @param index the task's number within the step
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
     * Reads a name.
     *
     * @param text the text
     * @return the name, empty where the text is no task's name
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
            // A name that another writer made up names no task of this system.
            return Optional.empty();
        }
    }

    @Override
    public String toString() {
        return jobId + "." + occurrence + "." + step + "." + index;
    }
}
