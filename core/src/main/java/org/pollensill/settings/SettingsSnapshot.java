package org.pollensill.settings;

import java.util.List;
import java.util.Objects;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * The full tree at one revision.
 *
 * @param revision the revision
 * @param tree the tree
 */
public record SettingsSnapshot(long revision, SettingsTree tree) {

    /**
     * Creates a snapshot.
     *
     * @throws NullPointerException if {@code tree} is null
     * @throws IllegalArgumentException if {@code revision} is negative
     */
    public SettingsSnapshot {
        Objects.requireNonNull(tree, "tree is null");
        if (revision < 0) {
            throw new IllegalArgumentException("revision is negative: " + revision);
        }
    }

    /**
     * Returns the snapshot as JSON text.
     *
     * @return the JSON
     */
    public String toJson() {
        ObjectNode json = SettingsJson.MAPPER.createObjectNode();
        json.put("revision", revision);
        json.putRawValue("tree", new com.fasterxml.jackson.databind.util.RawValue(tree.toJson()));
        return json.toString();
    }

    /**
     * Parses a snapshot.
     *
     * @param text JSON text
     * @return the snapshot
     * @throws InvalidSettingsException if the text is not a snapshot
     */
    public static SettingsSnapshot parse(String text) throws InvalidSettingsException {
        JsonNode json = SettingsJson.parse("snapshot", Objects.requireNonNull(text, "text is null"));
        if (!json.path("revision").isIntegralNumber()
                || json.path("revision").asLong() < 0
                || !json.path("tree").isObject()) {
            throw new InvalidSettingsException(List.of(Problem.of("snapshot", text, "expected revision and tree")));
        }
        return new SettingsSnapshot(
                json.path("revision").asLong(),
                SettingsTree.committed(json.path("tree").toString()));
    }
}
