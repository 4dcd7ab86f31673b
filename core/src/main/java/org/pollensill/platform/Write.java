package org.pollensill.platform;

import java.util.Objects;
import java.util.Optional;

/**
 * A write of a commit.
 *
 * @param key the row's key
 * @param value the new text, empty to delete the row
 */
public record Write(String key, Optional<String> value) {

    /**
     * Creates a write.
     *
     * @throws NullPointerException if an argument is null
     */
    public Write {
        Objects.requireNonNull(key, "key is null");
        Objects.requireNonNull(value, "value is null");
    }

    /**
     * Returns a write that sets a row.
     *
     * @param key the row's key
     * @param value the new text
     * @return the write
     */
    public static Write put(String key, String value) {
        return new Write(key, Optional.of(value));
    }

    /**
     * Returns a write that deletes a row.
     *
     * @param key the row's key
     * @return the write
     */
    public static Write delete(String key) {
        return new Write(key, Optional.empty());
    }
}
