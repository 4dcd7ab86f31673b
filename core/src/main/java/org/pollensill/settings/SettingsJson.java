package org.pollensill.settings;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Conversion between JSON text with comments and the checked tree. */
final class SettingsJson {

    static final JsonMapper MAPPER = JsonMapper.builder()
            .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
            .enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .build();

    private SettingsJson() {}

    /** Parses JSON text. */
    static JsonNode parse(String path, String text) throws InvalidSettingsException {
        try {
            JsonNode json = MAPPER.readTree(text);
            if (json == null || json.isMissingNode()) {
                throw new InvalidSettingsException(List.of(Problem.of(path, "(empty text)", "expected JSON")));
            }
            return json;
        } catch (JsonProcessingException e) {
            JsonLocation location = e.getLocation();
            String position = location == null
                    ? "unknown position"
                    : "line " + location.getLineNr() + " column " + location.getColumnNr();
            throw new InvalidSettingsException(
                    List.of(Problem.of(path, position, "invalid JSON: " + e.getOriginalMessage())));
        }
    }

    /** Validates JSON against a schema; invalid parts are added to {@code problems} and left out of the result. */
    static Optional<Node> validate(JsonNode json, Schema schema, SettingsPath path, List<Problem> problems) {
        if (schema instanceof Schema.Value) {
            ValueType type = ((Schema.Value) schema).setting().type();
            Optional<Object> value = type.read(json);
            if (value.isEmpty()) {
                problems.add(Problem.of(path.toString(), json.toString(), "expected " + type.expected()));
            }
            return value.map(Node.Leaf::new);
        }
        if (!json.isObject()) {
            problems.add(Problem.of(path.toString(), json.toString(), "expected an object"));
            return Optional.empty();
        }
        SortedMap<String, Node> children = new TreeMap<>();
        for (Iterator<Map.Entry<String, JsonNode>> i = json.fields(); i.hasNext(); ) {
            Map.Entry<String, JsonNode> field = i.next();
            Optional<Schema> childSchema =
                    childSchema(schema, field.getKey(), path, field.getValue().toString(), problems);
            if (childSchema.isPresent()) {
                validate(field.getValue(), childSchema.get(), path.child(field.getKey()), problems)
                        .ifPresent(child -> children.put(field.getKey().intern(), child));
            }
        }
        return Optional.of(Node.Branch.of(children));
    }

    /** Returns the schema of a child; an unknown key or an invalid name is added to {@code problems}. */
    static Optional<Schema> childSchema(
            Schema schema, String key, SettingsPath path, String value, List<Problem> problems) {
        if (schema instanceof Schema.Named) {
            if (SettingsPath.NAME.matcher(key).matches()) {
                return Optional.of(((Schema.Named) schema).item());
            }
            problems.add(Problem.of(path.child(key).toString(), key, "expected a name of letters, digits, - and _"));
            return Optional.empty();
        }
        if (schema instanceof Schema.Value) {
            problems.add(Problem.of(path.child(key).toString(), value, "no keys are allowed below the value " + path));
            return Optional.empty();
        }
        Map<String, Schema> fields = ((Schema.Fields) schema).fields();
        if (!fields.containsKey(key)) {
            problems.add(new Problem(path.child(key).toString(), value, "unknown key", nearest(key, fields)));
            return Optional.empty();
        }
        return Optional.of(fields.get(key));
    }

    /** Converts committed JSON without validation: parts that are unknown to this version are kept as raw JSON. */
    static Node convertLeniently(JsonNode json, Optional<Schema> schema) {
        if (schema.isPresent() && schema.get() instanceof Schema.Value) {
            return new Node.Leaf(
                    ((Schema.Value) schema.get()).setting().type().read(json).orElse(json));
        }
        if (!json.isObject()) {
            return new Node.Leaf(json);
        }
        SortedMap<String, Node> children = new TreeMap<>();
        json.fields()
                .forEachRemaining(field -> children.put(
                        field.getKey().intern(),
                        convertLeniently(
                                field.getValue(),
                                schema.flatMap(parent -> childSchema(
                                        parent, field.getKey(), SettingsPath.root(), "", new ArrayList<>())))));
        return Node.Branch.of(children);
    }

    /** Converts a part of the tree to JSON. */
    static JsonNode toJson(Node node) {
        if (node instanceof Node.Leaf) {
            Object value = ((Node.Leaf) node).value();
            return value instanceof JsonNode ? (JsonNode) value : MAPPER.valueToTree(value);
        }
        Node.Branch branch = (Node.Branch) node;
        ObjectNode object = MAPPER.createObjectNode();
        for (int i = 0; i < branch.size(); i++) {
            object.set(branch.name(i), toJson(branch.child(i)));
        }
        return object;
    }

    private static Optional<String> nearest(String key, Map<String, Schema> fields) {
        return fields.keySet().stream()
                .min(Comparator.<String>comparingInt(known -> distance(key, known))
                        .thenComparing(Comparator.naturalOrder()))
                .filter(known -> distance(key, known) <= Math.max(2, known.length() / 2));
    }

    /** Returns the case-insensitive Levenshtein distance. */
    private static int distance(String left, String right) {
        int[] row = new int[right.length() + 1];
        for (int j = 0; j <= right.length(); j++) {
            row[j] = j;
        }
        for (int i = 1; i <= left.length(); i++) {
            int diagonal = row[0];
            row[0] = i;
            for (int j = 1; j <= right.length(); j++) {
                boolean same = Character.toLowerCase(left.charAt(i - 1)) == Character.toLowerCase(right.charAt(j - 1));
                int replaced = diagonal + (same ? 0 : 1);
                diagonal = row[j];
                row[j] = Math.min(replaced, Math.min(row[j], row[j - 1]) + 1);
            }
        }
        return row[right.length()];
    }
}
