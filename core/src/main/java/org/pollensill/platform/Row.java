package org.pollensill.platform;

import java.util.Objects;

/**
 * A row of the table service.
 *
 * @param key the row's key
 * @param version version assigned by the last write, at least 1
 * @param value the stored text
 */
public record Row(String key, long version, String value) {

    /**
     * Creates a row.
     *
     * @throws NullPointerException if {@code key} or {@code value} is null
     */
    public Row {
        Objects.requireNonNull(key, "key is null");
        Objects.requireNonNull(value, "value is null");
    }
}
