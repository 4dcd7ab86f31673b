package org.pollensill.settings;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.regex.Pattern;

/**
 * Path of a value or a part of the tree, in dotted notation: {@code regions.serra.zones.caxias.timeZone}. The empty
 * path is the whole tree.
 *
 * @param segments the names from the root
 */
public record SettingsPath(List<String> segments) {

    /** Names contain no dots, so that a dotted path is unambiguous. */
    static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9_-]{0,62}");

    private static final SettingsPath ROOT = new SettingsPath(List.of());

    /**
     * Creates a path.
     *
     * @throws NullPointerException if {@code segments} is null
     */
    public SettingsPath {
        segments = List.copyOf(Objects.requireNonNull(segments, "segments is null"));
    }

    /**
     * Returns the path of the whole tree.
     *
     * @return the empty path
     */
    public static SettingsPath root() {
        return ROOT;
    }

    /**
     * Parses a dotted path.
     *
     * @param text the path
     * @return the path
     * @throws InvalidSettingsException if a segment is not a valid name
     */
    public static SettingsPath parse(String text) throws InvalidSettingsException {
        Objects.requireNonNull(text, "text is null");
        if (text.isEmpty()) {
            return ROOT;
        }
        List<String> segments = new ArrayList<>();
        for (String segment : text.split("\\.", -1)) {
            if (!NAME.matcher(segment).matches()) {
                throw new InvalidSettingsException(
                        List.of(Problem.of(text, segment, "a path consists of names separated by dots")));
            }
            segments.add(segment);
        }
        return new SettingsPath(segments);
    }

    /**
     * Returns the path of a child.
     *
     * @param name the child's name
     * @return the path
     */
    public SettingsPath child(String name) {
        Objects.requireNonNull(name, "name is null");
        List<String> longer = new ArrayList<>(segments);
        longer.add(name);
        return new SettingsPath(longer);
    }

    /**
     * Returns whether one of the two paths contains the other.
     *
     * @param other the other path
     * @return whether a change of one also changes the other
     */
    public boolean overlaps(SettingsPath other) {
        int common = Math.min(segments.size(), other.segments.size());
        return segments.subList(0, common).equals(other.segments.subList(0, common));
    }

    @Override
    public String toString() {
        return String.join(".", segments);
    }
}
