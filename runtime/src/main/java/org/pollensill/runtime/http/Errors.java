package org.pollensill.runtime.http;

import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Factory of responses with a typed error as JSON body. */
public final class Errors {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private Errors() {}

    /**
     * Returns a response with the body {@code {"error":{"type","message","requestId"}}}.
     *
     * @param status the status code
     * @param type the error's type
     * @param message the error message
     * @param requestId the request's id, empty if it has none
     * @return the response
     */
    public static Answer answer(int status, String type, String message, String requestId) {
        ObjectNode root = MAPPER.createObjectNode();
        root.putObject("error").put("type", type).put("message", message).put("requestId", requestId);
        try {
            return Answer.json(status, MAPPER.writeValueAsBytes(root));
        } catch (JsonProcessingException e) {
            return Answer.json(status, "{\"error\":{}}".getBytes(StandardCharsets.UTF_8));
        }
    }
}
