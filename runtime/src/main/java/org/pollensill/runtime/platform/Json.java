package org.pollensill.runtime.platform;

import java.io.IOException;
import java.io.UncheckedIOException;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;

/** Encodes and decodes the JSON bodies of the platform's protocols. */
final class Json {

    static final ObjectMapper MAPPER = new ObjectMapper();

    private Json() {}

    static byte[] bytes(JsonNode node) {
        try {
            return MAPPER.writeValueAsBytes(node);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Parses a body. Returns a missing node, which has no fields, if the body is malformed. */
    static JsonNode parse(byte[] body) {
        try {
            return MAPPER.readTree(body);
        } catch (IOException e) {
            return MissingNode.getInstance();
        }
    }
}
