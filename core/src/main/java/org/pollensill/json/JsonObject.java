package org.pollensill.json;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;

/**
 * A JSON object, parsed with the streaming parser. Accessors treat a member of another type as absent, so callers
 * handle absent and malformed members in one place.
 *
 * @param members the members in document order; values are String, Long, Double, Boolean, List or JsonObject
 */
public record JsonObject(Map<String, Object> members) {

    /** Shared by all parsers and generators because a factory is expensive to create. */
    static final JsonFactory FACTORY = JsonFactory.builder()
            .enable(com.fasterxml.jackson.core.json.JsonReadFeature.ALLOW_JAVA_COMMENTS)
            .build();

    private static final int MAX_DEPTH = 32;

    /**
     * Creates an object.
     *
     * @throws NullPointerException if {@code members} is null
     */
    public JsonObject {
        Objects.requireNonNull(members, "members is null");
    }

    /**
     * Parses an object from text. Java-style comments are allowed.
     *
     * @param text the text
     * @return the object
     * @throws JsonSyntaxException if the text is not a JSON object
     */
    public static JsonObject parse(String text) throws JsonSyntaxException {
        Objects.requireNonNull(text, "text is null");
        try (JsonParser parser = FACTORY.createParser(text)) {
            return parseObject(parser);
        } catch (IOException e) {
            throw new JsonSyntaxException(String.valueOf(e.getMessage()), e);
        }
    }

    /**
     * Parses an object from UTF-8 bytes. Java-style comments are allowed.
     *
     * @param bytes the encoded text
     * @return the object
     * @throws JsonSyntaxException if the bytes are not a JSON object
     */
    public static JsonObject parse(byte[] bytes) throws JsonSyntaxException {
        Objects.requireNonNull(bytes, "bytes is null");
        try (JsonParser parser = FACTORY.createParser(bytes)) {
            return parseObject(parser);
        } catch (IOException e) {
            throw new JsonSyntaxException(String.valueOf(e.getMessage()), e);
        }
    }

    private static JsonObject parseObject(JsonParser parser) throws IOException, JsonSyntaxException {
        if (parser.nextToken() != JsonToken.START_OBJECT) {
            throw new JsonSyntaxException("not a JSON object");
        }
        return parseMembers(parser, 0);
    }

    private static JsonObject parseMembers(JsonParser parser, int depth) throws IOException, JsonSyntaxException {
        Map<String, Object> members = new LinkedHashMap<>();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            parser.nextToken();
            Object value = parseValue(parser, depth);
            if (value != null) {
                members.put(name, value);
            }
        }
        return new JsonObject(members);
    }

    private static Object parseValue(JsonParser parser, int depth) throws IOException, JsonSyntaxException {
        // Objects and arrays are read recursively, and the stacks of the daemons are small.
        if (depth > MAX_DEPTH) {
            throw new JsonSyntaxException("nesting exceeds the maximum depth of " + MAX_DEPTH);
        }
        switch (parser.currentToken()) {
            case START_OBJECT:
                return parseMembers(parser, depth + 1);
            case START_ARRAY:
                List<Object> items = new ArrayList<>();
                while (parser.nextToken() != JsonToken.END_ARRAY) {
                    Object item = parseValue(parser, depth + 1);
                    if (item != null) {
                        items.add(item);
                    }
                }
                return items;
            case VALUE_STRING:
                return parser.getText();
            case VALUE_NUMBER_INT:
                return parser.getNumberType() == JsonParser.NumberType.BIG_INTEGER
                        ? (Object) parser.getDoubleValue()
                        : (Object) parser.getLongValue();
            case VALUE_NUMBER_FLOAT:
                return parser.getDoubleValue();
            case VALUE_TRUE:
                return Boolean.TRUE;
            case VALUE_FALSE:
                return Boolean.FALSE;
            default:
                return null;
        }
    }

    /**
     * Returns a string member.
     *
     * @param name the member's name
     * @return the string, empty if the member is absent or of another type
     */
    public Optional<String> text(String name) {
        return members.get(name) instanceof String text ? Optional.of(text) : Optional.empty();
    }

    /**
     * Returns an integer member. A floating-point number without a fraction counts as an integer.
     *
     * @param name the member's name
     * @return the integer, empty if the member is absent or not an integer
     */
    public Optional<Long> integer(String name) {
        Object value = members.get(name);
        if (value instanceof Long whole) {
            return Optional.of(whole);
        }
        if (value instanceof Double number && number == Math.rint(number) && Math.abs(number) < 1e15) {
            return Optional.of(number.longValue());
        }
        return Optional.empty();
    }

    /**
     * Returns an integer member within bounds.
     *
     * @param name the member's name
     * @param min the lowest value
     * @param max the highest value
     * @return the integer, empty if the member is absent, not an integer or out of bounds
     */
    public Optional<Long> integer(String name, long min, long max) {
        return integer(name).filter(value -> value >= min && value <= max);
    }

    /**
     * Returns a numeric member.
     *
     * @param name the member's name
     * @return the number, empty if the member is absent or of another type
     */
    public Optional<Double> number(String name) {
        return members.get(name) instanceof Number number ? Optional.of(number.doubleValue()) : Optional.empty();
    }

    /**
     * Returns whether a member is true.
     *
     * @param name the member's name
     * @return true if the member is present and true
     */
    public boolean isTrue(String name) {
        return Boolean.TRUE.equals(members.get(name));
    }

    /**
     * Returns an object member.
     *
     * @param name the member's name
     * @return the object, empty if the member is absent or of another type
     */
    public Optional<JsonObject> object(String name) {
        return members.get(name) instanceof JsonObject object ? Optional.of(object) : Optional.empty();
    }

    /**
     * Returns the items of an array member.
     *
     * @param name the member's name
     * @return the items, none if the member is absent or of another type
     */
    @SuppressWarnings("unchecked")
    public List<Object> list(String name) {
        return members.get(name) instanceof List<?> list ? (List<Object>) list : List.of();
    }

    /**
     * Returns the objects of an array member.
     *
     * @param name the member's name
     * @return the objects; items of another type are skipped
     */
    public List<JsonObject> objects(String name) {
        List<JsonObject> objects = new ArrayList<>();
        for (Object item : list(name)) {
            if (item instanceof JsonObject object) {
                objects.add(object);
            }
        }
        return objects;
    }

    /**
     * Returns the strings of an array member.
     *
     * @param name the member's name
     * @return the strings; items of another type are skipped
     */
    public List<String> texts(String name) {
        List<String> texts = new ArrayList<>();
        for (Object item : list(name)) {
            if (item instanceof String text) {
                texts.add(text);
            }
        }
        return texts;
    }
}
