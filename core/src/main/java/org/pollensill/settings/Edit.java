package org.pollensill.settings;

import java.util.Objects;
import java.util.Optional;

/**
 * A change of one path.
 *
 * @param path the path
 * @param value the new value as JSON text, empty to remove the path
 */
public record Edit(SettingsPath path, Optional<String> value) {

    private static final int MAX_SHOWN_CHARACTERS = 100;

    /**
     * Creates an edit.
     *
     * @throws NullPointerException if an argument is null
     */
    public Edit {
        Objects.requireNonNull(path, "path is null");
        Objects.requireNonNull(value, "value is null");
    }

    /**
     * Returns an edit that sets a path.
     *
     * @param path the path
     * @param json the new value as JSON text
     * @return the edit
     */
    public static Edit set(SettingsPath path, String json) {
        return new Edit(path, Optional.of(json));
    }

    /**
     * Returns an edit that removes a path.
     *
     * @param path the path
     * @return the edit
     */
    public static Edit remove(SettingsPath path) {
        return new Edit(path, Optional.empty());
    }

    @Override
    public String toString() {
        return value.map(json -> "set " + path + " = " + shown(json)).orElse("remove " + path);
    }

    /**
     * Truncates a value for messages, since the JSON of a subtree can have thousands of lines.
     *
     * @param json the value
     * @return the value, truncated if it is too long
     */
    public static String shown(String json) {
        return json.length() <= MAX_SHOWN_CHARACTERS ? json : json.substring(0, MAX_SHOWN_CHARACTERS) + "...";
    }
}
