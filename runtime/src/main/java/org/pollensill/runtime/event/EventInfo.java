package org.pollensill.runtime.event;

import java.util.Objects;

import org.slf4j.event.Level;

/**
 * Constant properties of an event.
 *
 * @param number the number, unique across all modules
 * @param level the level
 * @param text the text, identical for every occurrence
 */
public record EventInfo(int number, Level level, String text) {

    /**
     * Creates the properties.
     *
     * @throws NullPointerException if an argument is null
     */
    public EventInfo {
        Objects.requireNonNull(level, "level is null");
        Objects.requireNonNull(text, "text is null");
    }
}
