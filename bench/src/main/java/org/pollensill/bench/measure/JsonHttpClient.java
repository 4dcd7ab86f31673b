package org.pollensill.bench.measure;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Objects;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;

/** JSON client for the admin listener of the stand-in or of a daemon. */
final class JsonHttpClient {

    static final JsonMapper JSON = new JsonMapper();
    private static final HttpClient HTTP_CLIENT = HttpClient.newHttpClient();
    private static final Duration TIMEOUT = Duration.ofSeconds(10);

    private final String address;
    private final String token;

    JsonHttpClient(String address, String token) {
        this.address = Objects.requireNonNull(address, "address is null");
        this.token = Objects.requireNonNull(token, "token is null");
    }

    private HttpResponse<byte[]> send(HttpRequest.Builder builder) throws IOException, InterruptedException {
        if (!token.isEmpty()) {
            builder.header("Authorization", "Bearer " + token);
        }
        return HTTP_CLIENT.send(builder.timeout(TIMEOUT).build(), HttpResponse.BodyHandlers.ofByteArray());
    }

    private HttpRequest.Builder requestBuilder(String path) {
        return HttpRequest.newBuilder(URI.create("http://" + address + path));
    }

    /** Returns the HTTP status of a path, or 0 if the request fails. */
    int status(String path) throws InterruptedException {
        try {
            return send(requestBuilder(path)).statusCode();
        } catch (IOException e) {
            return 0;
        }
    }

    JsonNode get(String path) throws IOException, InterruptedException {
        return parseResponse(path, send(requestBuilder(path)));
    }

    JsonNode post(String path, Object body) throws IOException, InterruptedException {
        byte[] bodyBytes = body instanceof String text ? text.getBytes() : JSON.writeValueAsBytes(body);
        return parseResponse(path, send(requestBuilder(path).POST(HttpRequest.BodyPublishers.ofByteArray(bodyBytes))));
    }

    private JsonNode parseResponse(String path, HttpResponse<byte[]> response) throws IOException {
        if (response.statusCode() / 100 != 2) {
            throw new IOException(
                    address + path + " answered " + response.statusCode() + ": " + new String(response.body()).strip());
        }
        return response.body().length == 0 ? JSON.missingNode() : JSON.readTree(response.body());
    }
}
