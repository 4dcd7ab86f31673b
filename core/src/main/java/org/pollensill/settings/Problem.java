package org.pollensill.settings;

import java.util.Objects;
import java.util.Optional;

/**
 * One problem in a settings text or change.
 *
 * @param path path of the invalid part
 * @param value the value found there
 * @param message what is wrong
 * @param nearest the known key that is most similar to an unknown one
 */
public record Problem(String path, String value, String message, Optional<String> nearest) {

    private static final int MAX_VALUE_CHARACTERS = 80;

    /**
     * Creates a problem.
     *
     * @throws NullPointerException if an argument is null
     */
    public Problem {
        Objects.requireNonNull(path, "path is null");
        Objects.requireNonNull(value, "value is null");
        Objects.requireNonNull(message, "message is null");
        Objects.requireNonNull(nearest, "nearest is null");
        if (value.length() > MAX_VALUE_CHARACTERS) {
            value = value.substring(0, MAX_VALUE_CHARACTERS) + "...";
        }
    }

    /**
     * Returns a problem without a nearest key.
     *
     * @param path path of the invalid part
     * @param value the value found there
     * @param message what is wrong
     * @return the problem
     */
    public static Problem of(String path, String value, String message) {
        return new Problem(path, value, message, Optional.empty());
    }

    @Override
    public String toString() {
        return (path.isEmpty() ? "(root)" : path) + ": " + message + ", found " + value
                + nearest.map(key -> "; nearest known key: " + key).orElse("");
    }
}
