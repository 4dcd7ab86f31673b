package org.pollensill.platform;

import java.util.Objects;

/**
 * A range read of the rows whose keys begin with a prefix, in the order of their keys.
 *
 * @param prefix the prefix
 * @param after exclusive lower bound of the keys, empty for none
 * @param limit max number of rows to return, at least 1
 */
public record Prefix(String prefix, String after, int limit) {

    /**
     * Creates a range read.
     *
     * @throws NullPointerException if an argument is null
     * @throws IllegalArgumentException if {@code limit} is less than 1
     */
    public Prefix {
        Objects.requireNonNull(prefix, "prefix is null");
        Objects.requireNonNull(after, "after is null");
        if (limit < 1) {
            throw new IllegalArgumentException("limit is less than 1: " + limit);
        }
    }
}
