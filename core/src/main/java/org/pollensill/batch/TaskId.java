package org.pollensill.batch;

import java.util.Objects;
import java.util.Optional;

/**
 * Identity of a task, written as {@code job/index}.
 *
 * @param jobId the job
 * @param index the task's index in the job, from 0
 */
public record TaskId(String jobId, int index) {

    /**
     * Creates an identity.
     *
     * @throws NullPointerException if {@code jobId} is null
     */
    public TaskId {
        Objects.requireNonNull(jobId, "jobId is null");
    }

    /**
     * Parses an identity.
     *
     * @param text such as {@code j1-5/0}
     * @return the identity, empty if the text is not a valid identity
     */
    public static Optional<TaskId> parse(String text) {
        int slash = text.lastIndexOf('/');
        if (slash < 1) {
            return Optional.empty();
        }
        try {
            return Optional.of(new TaskId(text.substring(0, slash), Integer.parseInt(text.substring(slash + 1))));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }

    @Override
    public String toString() {
        return jobId + "/" + index;
    }
}
