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
 * A JSON object read by the streaming parser. Accessors treat a member of another type as absent, so a reader decides
 * in one place what an absent member means.
 *
 * @param members the members in their order; values are String, Long, Double, Boolean, List or JsonObject
 */
public record JsonObject(Map<String, Object> members) {

    /** The factory of all parsers and generators; creating one is costly. */
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
     * Reads an object from text; comments are allowed.
     *
     * @param text the text
     * @return the object
     * @throws JsonSyntaxException if the text is not one JSON object
     */
    public static JsonObject parse(String text) throws JsonSyntaxException {
        Objects.requireNonNull(text, "text is null");
        try (JsonParser parser = FACTORY.createParser(text)) {
            return object(parser);
        } catch (IOException e) {
            throw new JsonSyntaxException(String.valueOf(e.getMessage()), e);
        }
    }

    /**
     * Reads an object from UTF-8 bytes.
     *
     * @param bytes the bytes
     * @return the object
     * @throws JsonSyntaxException if the bytes are not one JSON object
     */
    public static JsonObject parse(byte[] bytes) throws JsonSyntaxException {
        Objects.requireNonNull(bytes, "bytes is null");
        try (JsonParser parser = FACTORY.createParser(bytes)) {
            return object(parser);
        } catch (IOException e) {
            throw new JsonSyntaxException(String.valueOf(e.getMessage()), e);
        }
    }

    private static JsonObject object(JsonParser parser) throws IOException, JsonSyntaxException {
        if (parser.nextToken() != JsonToken.START_OBJECT) {
            throw new JsonSyntaxException("not a JSON object");
        }
        return members(parser, 0);
    }

    private static JsonObject members(JsonParser parser, int depth) throws IOException, JsonSyntaxException {
        if (depth > MAX_DEPTH) {
            throw new JsonSyntaxException("nested deeper than " + MAX_DEPTH);
        }
        Map<String, Object> members = new LinkedHashMap<>();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            parser.nextToken();
            Object value = value(parser, depth);
            if (value != null) {
                members.put(name, value);
            }
        }
        return new JsonObject(members);
    }

    private static Object value(JsonParser parser, int depth) throws IOException, JsonSyntaxException {
        switch (parser.currentToken()) {
            case START_OBJECT:
                return members(parser, depth + 1);
            case START_ARRAY:
                List<Object> items = new ArrayList<>();
                while (parser.nextToken() != JsonToken.END_ARRAY) {
                    Object item = value(parser, depth + 1);
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
     * Returns a text member.
     *
     * @param name the member's name
     * @return the text, empty where absent or of another type
     */
    public Optional<String> text(String name) {
        return members.get(name) instanceof String text ? Optional.of(text) : Optional.empty();
    }

    /**
     * Returns a whole number.
     *
     * @param name the member's name
     * @return the number, empty where absent or not whole
     */
    public Optional<Long> whole(String name) {
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
     * Returns a number.
     *
     * @param name the member's name
     * @return the number, empty where absent or of another type
     */
    public Optional<Double> number(String name) {
        return members.get(name) instanceof Number number ? Optional.of(number.doubleValue()) : Optional.empty();
    }

    /**
     * Returns whether a member is true.
     *
     * @param name the member's name
     * @return whether it is present and true
     */
    public boolean isTrue(String name) {
        return Boolean.TRUE.equals(members.get(name));
    }

    /**
     * Returns an object member.
     *
     * @param name the member's name
     * @return the object, empty where absent or of another type
     */
    public Optional<JsonObject> object(String name) {
        return members.get(name) instanceof JsonObject object ? Optional.of(object) : Optional.empty();
    }

    /**
     * Returns the items of a list.
     *
     * @param name the member's name
     * @return the items, none where the member is absent or of another type
     */
    @SuppressWarnings("unchecked")
    public List<Object> list(String name) {
        return members.get(name) instanceof List<?> list ? (List<Object>) list : List.of();
    }

    /**
     * Returns the objects of a list.
     *
     * @param name the member's name
     * @return the objects; items of another type are left out
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
     * Returns the texts of a list.
     *
     * @param name the member's name
     * @return the texts; items of another type are left out
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
