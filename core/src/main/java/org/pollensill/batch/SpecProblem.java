package org.pollensill.batch;

import java.util.Objects;
import java.util.Optional;

/**
 * A problem in a job specification.
 *
 * @param path JSON path of the value, such as {@code $.tasks}
 * @param value the value found, truncated
 * @param message what is wrong with the value
 * @param nearestKey the known key with the smallest edit distance to an unknown key
 */
public record SpecProblem(String path, String value, String message, Optional<String> nearestKey) {

    /**
     * Creates a problem.
     *
     * @throws NullPointerException if an argument is null
     */
    public SpecProblem {
        Objects.requireNonNull(path, "path is null");
        Objects.requireNonNull(value, "value is null");
        Objects.requireNonNull(message, "message is null");
        Objects.requireNonNull(nearestKey, "nearestKey is null");
    }

    @Override
    public String toString() {
        String hint = nearestKey.map(key -> "; did you mean " + key + "?").orElse("");
        return path + ": " + message + ", found " + value + hint;
    }
}
