package org.pollensill.settings;

import java.util.Objects;

/**
 * An effective value and the level that set it.
 *
 * @param path the path below a level, such as {@code batch.leaseMs}
 * @param value the value as JSON text
 * @param level path of the level or shift that set it, or {@code built-in}
 */
public record EffectiveValue(String path, String value, String level) {

    /** Level of values that are not set anywhere. */
    public static final String BUILT_IN = "built-in";

    /**
     * Creates a value.
     *
     * @throws NullPointerException if an argument is null
     */
    public EffectiveValue {
        Objects.requireNonNull(path, "path is null");
        Objects.requireNonNull(value, "value is null");
        Objects.requireNonNull(level, "level is null");
    }
}
