package org.pollensill.platform;

import java.util.Objects;

/**
 * A condition of a commit: a row has an expected version.
 *
 * @param key the row's key
 * @param version the expected version, 0 if the row must be absent
 */
public record Condition(String key, long version) {

    /** Version of a row that does not exist. */
    public static final long ABSENT = 0;

    /**
     * Creates a condition.
     *
     * @throws NullPointerException if {@code key} is null
     */
    public Condition {
        Objects.requireNonNull(key, "key is null");
    }

    /**
     * Returns the condition that a row does not exist.
     *
     * @param key the row's key
     * @return the condition
     */
    public static Condition absent(String key) {
        return new Condition(key, ABSENT);
    }
}
