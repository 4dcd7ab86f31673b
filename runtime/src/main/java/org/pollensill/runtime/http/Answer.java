package org.pollensill.runtime.http;

import java.nio.charset.StandardCharsets;
import java.util.Objects;

/**
 * A complete HTTP response. The body is not copied and must not be modified.
 *
 * @param status the status code
 * @param headers the headers, without the hop-by-hop headers
 * @param body the body, empty if there is none
 */
public record Answer(int status, Headers headers, byte[] body) {

    private static final byte[] EMPTY_BODY = new byte[0];

    /**
     * Creates a response.
     *
     * @throws NullPointerException if an argument is null
     */
    public Answer {
        Objects.requireNonNull(headers, "headers is null");
        Objects.requireNonNull(body, "body is null");
    }

    /**
     * Returns a response without a body.
     *
     * @param status the status code
     * @return the response
     */
    public static Answer of(int status) {
        return new Answer(status, Headers.empty(), EMPTY_BODY);
    }

    /**
     * Returns a response with a JSON body.
     *
     * @param status the status code
     * @param body the JSON text
     * @return the response
     */
    public static Answer json(int status, String body) {
        return json(status, body.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Returns a response with a JSON body.
     *
     * @param status the status code
     * @param body the JSON text in UTF-8
     * @return the response
     */
    public static Answer json(int status, byte[] body) {
        return new Answer(status, Headers.of("Content-Type", "application/json"), body);
    }

    /**
     * Returns a response with a plain text body.
     *
     * @param status the status code
     * @param body the text
     * @return the response
     */
    public static Answer text(int status, String body) {
        return new Answer(
                status, Headers.of("Content-Type", "text/plain; charset=utf-8"), body.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Returns a copy of this response with a header set to a single value.
     *
     * @param name the header's name
     * @param value the value
     * @return the new response
     */
    public Answer withHeader(String name, String value) {
        return new Answer(status, headers.with(name, value), body);
    }
}
