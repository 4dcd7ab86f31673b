package org.pollensill.settings;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * A committed change.
 *
 * @param revision the revision after the change
 * @param change the change
 * @param undo edits that restore the previous revision
 * @param committedAtMs wall-clock time of the commit
 */
public record SettingsDelta(long revision, SettingsChange change, List<Edit> undo, long committedAtMs) {

    /**
     * Creates a delta.
     *
     * @throws NullPointerException if an argument is null
     * @throws IllegalArgumentException if {@code revision} is less than 1
     */
    public SettingsDelta {
        Objects.requireNonNull(change, "change is null");
        undo = List.copyOf(Objects.requireNonNull(undo, "undo is null"));
        if (revision < 1) {
            throw new IllegalArgumentException("revision is less than 1: " + revision);
        }
    }

    /**
     * Returns the delta as JSON text.
     *
     * @return the JSON
     */
    public String toJson() {
        ObjectNode json = SettingsJson.MAPPER.createObjectNode();
        json.put("revision", revision);
        json.put("changeId", change.changeId());
        json.put("author", change.author());
        json.put("reason", change.reason());
        json.put("baseRevision", change.baseRevision());
        json.put("committedAtMs", committedAtMs);
        json.set("edits", edits(change.edits()));
        json.set("undo", edits(undo));
        return json.toString();
    }

    /**
     * Parses a delta.
     *
     * @param text JSON text
     * @return the delta
     * @throws InvalidSettingsException if the text is not a delta
     */
    public static SettingsDelta parse(String text) throws InvalidSettingsException {
        JsonNode json = SettingsJson.parse("delta", Objects.requireNonNull(text, "text is null"));
        try {
            SettingsChange change = new SettingsChange(
                    json.path("changeId").asText(),
                    json.path("author").asText(),
                    json.path("reason").asText(),
                    json.path("baseRevision").asLong(),
                    edits(json.path("edits")));
            return new SettingsDelta(
                    json.path("revision").asLong(),
                    change,
                    edits(json.path("undo")),
                    json.path("committedAtMs").asLong());
        } catch (IllegalArgumentException e) {
            throw new InvalidSettingsException(List.of(Problem.of("delta", text, String.valueOf(e.getMessage()))));
        }
    }

    /**
     * Parses edits.
     *
     * @param text JSON text of a list of {@code {"path":...,"value":...}}; without a value the path is removed
     * @return the edits
     * @throws InvalidSettingsException if the text is not a list of edits
     */
    public static List<Edit> parseEdits(String text) throws InvalidSettingsException {
        JsonNode json = SettingsJson.parse("edits", Objects.requireNonNull(text, "text is null"));
        if (!json.isArray()) {
            throw new InvalidSettingsException(List.of(Problem.of("edits", text, "expected a list")));
        }
        return edits(json);
    }

    /**
     * Returns edits as JSON text.
     *
     * @param edits the edits
     * @return the JSON
     */
    public static String editsJson(List<Edit> edits) {
        return edits(Objects.requireNonNull(edits, "edits is null")).toString();
    }

    private static ArrayNode edits(List<Edit> edits) {
        ArrayNode list = SettingsJson.MAPPER.createArrayNode();
        for (Edit edit : edits) {
            ObjectNode json = list.addObject();
            json.put("path", edit.path().toString());
            if (edit.value().isPresent()) {
                json.putRawValue(
                        "value",
                        new com.fasterxml.jackson.databind.util.RawValue(
                                edit.value().get()));
            }
        }
        return list;
    }

    private static List<Edit> edits(JsonNode list) throws InvalidSettingsException {
        List<Edit> edits = new ArrayList<>();
        for (JsonNode json : list) {
            SettingsPath path = SettingsPath.parse(json.path("path").asText());
            edits.add(new Edit(path, Optional.ofNullable(json.get("value")).map(JsonNode::toString)));
        }
        return edits;
    }
}
