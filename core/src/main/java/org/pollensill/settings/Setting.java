package org.pollensill.settings;

import java.util.Objects;

/**
 * Description of one setting.
 *
 * @param group the object that contains it, such as {@code entry}; empty for the level itself
 * @param name the key
 * @param type type and range
 * @param unit unit of the value, or {@code -}
 * @param defaultText the built-in default as text
 * @param levels the levels at which it can be set
 * @param effect description of its effect
 */
public record Setting(
        String group, String name, ValueType type, String unit, String defaultText, String levels, String effect) {

    /**
     * Creates a description.
     *
     * @throws NullPointerException if an argument is null
     */
    public Setting {
        Objects.requireNonNull(group, "group is null");
        Objects.requireNonNull(name, "name is null");
        Objects.requireNonNull(type, "type is null");
        Objects.requireNonNull(unit, "unit is null");
        Objects.requireNonNull(defaultText, "defaultText is null");
        Objects.requireNonNull(levels, "levels is null");
        Objects.requireNonNull(effect, "effect is null");
    }
}
