package org.pollensill.runtime.http;

import java.util.Objects;

/**
 * A complete HTTP request. The body is not copied and must not be modified.
 *
 * @param method the HTTP method
 * @param uri path and query
 * @param headers the headers, without the hop-by-hop headers
 * @param body the body, empty if there is none
 */
public record Request(String method, String uri, Headers headers, byte[] body) {

    private static final byte[] EMPTY_BODY = new byte[0];

    /**
     * Creates a request.
     *
     * @throws NullPointerException if an argument is null
     */
    public Request {
        Objects.requireNonNull(method, "method is null");
        Objects.requireNonNull(uri, "uri is null");
        Objects.requireNonNull(headers, "headers is null");
        Objects.requireNonNull(body, "body is null");
    }

    /**
     * Returns a GET request.
     *
     * @param uri path and query
     * @return the request
     */
    public static Request get(String uri) {
        return new Request("GET", uri, Headers.empty(), EMPTY_BODY);
    }

    /**
     * Returns a POST request with a JSON body.
     *
     * @param uri path and query
     * @param body the JSON text in UTF-8
     * @return the request
     */
    public static Request postJson(String uri, byte[] body) {
        return new Request("POST", uri, Headers.of("Content-Type", "application/json"), body);
    }

    /**
     * Returns the path without the query.
     *
     * @return the path
     */
    public String path() {
        int query = uri.indexOf('?');
        return query < 0 ? uri : uri.substring(0, query);
    }
}
