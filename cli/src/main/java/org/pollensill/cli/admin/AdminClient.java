package org.pollensill.cli.admin;

import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.pollensill.cli.ExitCode;

/** An HTTP client for the admin listeners of the daemons; addresses are tried in order. */
public final class AdminClient {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);

    /** Longer than the store timeout of a daemon, so that the daemon can still report the outcome. */
    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(30);

    private final HttpClient http;
    private final List<String> addresses;
    private final Optional<String> token;

    /**
     * Creates a client.
     *
     * @param addresses the addresses of admin listeners, with an {@code https://} prefix for TLS
     * @param token the operator's token
     * @param tls the TLS context, empty for the default of the Java virtual machine
     */
    public AdminClient(List<String> addresses, Optional<String> token, Optional<javax.net.ssl.SSLContext> tls) {
        this.addresses = List.copyOf(Objects.requireNonNull(addresses, "addresses is null"));
        this.token = Objects.requireNonNull(token, "token is null");
        HttpClient.Builder builder =
                HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).connectTimeout(CONNECT_TIMEOUT);
        tls.ifPresent(builder::sslContext);
        this.http = builder.build();
    }

    /**
     * Returns the addresses of the admin listeners.
     *
     * @return the addresses in the order in which they are tried
     */
    public List<String> addresses() {
        return addresses;
    }

    /**
     * Sends a GET request to the first daemon that responds.
     *
     * @param path the path and query
     * @return the response body
     * @throws CommandException if no daemon responds, or a daemon refuses the request
     */
    public JsonNode get(String path) throws CommandException {
        return parseJson(sendToFirst(path, Optional.empty()));
    }

    /**
     * Sends a GET request to every daemon.
     *
     * @param path the path and query
     * @return the response bodies of the daemons that responded, at least one
     * @throws CommandException if no daemon responds, or a daemon refuses the request
     */
    public List<JsonNode> getAll(String path) throws CommandException {
        List<JsonNode> responses = new ArrayList<>();
        CommandException lastFailure = new CommandException(ExitCode.UNAVAILABLE, "no daemon address given");
        for (String address : addresses) {
            try {
                responses.add(parseJson(send(address, path, Optional.empty())));
            } catch (CommandException e) {
                if (e.exitCode() != ExitCode.UNAVAILABLE) {
                    throw e;
                }
                lastFailure = e;
            }
        }
        if (responses.isEmpty()) {
            throw lastFailure;
        }
        return responses;
    }

    /**
     * Sends a GET request for text, such as an HTML page, to the first daemon that responds.
     *
     * @param path the path and query
     * @return the response body
     * @throws CommandException if no daemon responds, or a daemon refuses the request
     */
    public String getText(String path) throws CommandException {
        return sendToFirst(path, Optional.empty());
    }

    /**
     * Sends a POST request to the first daemon that responds. If a response is lost, the same body is sent to the next
     * daemon, so the body must carry an idempotency key.
     *
     * @param path the path
     * @param body the JSON body
     * @return the response body
     * @throws CommandException if no daemon responds, or a daemon refuses the request
     */
    public JsonNode post(String path, JsonNode body) throws CommandException {
        return parseJson(sendToFirst(path, Optional.of(body.toString())));
    }

    /**
     * Sends a POST request to every daemon, for requests that only some daemons accept.
     *
     * @param path the path
     * @param body the JSON body
     * @return the response bodies of the daemons that accepted it, at least one
     * @throws CommandException if no daemon accepted it; the exception is that of the last failure
     */
    public List<JsonNode> postAll(String path, JsonNode body) throws CommandException {
        List<JsonNode> responses = new ArrayList<>();
        CommandException lastFailure = new CommandException(ExitCode.UNAVAILABLE, "no daemon address given");
        for (String address : addresses) {
            try {
                responses.add(parseJson(send(address, path, Optional.of(body.toString()))));
            } catch (CommandException e) {
                lastFailure = e;
            }
        }
        if (responses.isEmpty()) {
            throw lastFailure;
        }
        return responses;
    }

    private static JsonNode parseJson(String text) throws CommandException {
        try {
            return MAPPER.readTree(text);
        } catch (JsonProcessingException e) {
            throw new CommandException(
                    ExitCode.REFUSED, "the response of the daemon is not valid JSON: " + e.getOriginalMessage());
        }
    }

    private String sendToFirst(String path, Optional<String> body) throws CommandException {
        CommandException lastFailure = new CommandException(ExitCode.UNAVAILABLE, "no daemon address given");
        boolean maybeApplied = false;
        for (String address : addresses) {
            try {
                return send(address, path, body);
            } catch (CommandException e) {
                if (e.exitCode() != ExitCode.UNAVAILABLE && e.exitCode() != ExitCode.UNKNOWN) {
                    throw e;
                }
                maybeApplied |= e.exitCode() == ExitCode.UNKNOWN;
                lastFailure = e;
            }
        }
        throw maybeApplied && body.isPresent()
                ? new CommandException(ExitCode.UNKNOWN, lastFailure.getMessage())
                : lastFailure;
    }

    private String send(String address, String path, Optional<String> body) throws CommandException {
        String baseUri = address.contains("://") ? address : "http://" + address;
        HttpRequest.Builder request;
        try {
            request = HttpRequest.newBuilder(URI.create(baseUri + path)).timeout(RESPONSE_TIMEOUT);
        } catch (IllegalArgumentException e) {
            throw new CommandException(ExitCode.USAGE, "invalid daemon address: " + address);
        }
        token.ifPresent(bearerToken -> request.header("Authorization", "Bearer " + bearerToken));
        if (body.isPresent()) {
            request.header("Content-Type", "application/json")
                    .POST(HttpRequest.BodyPublishers.ofString(body.get(), StandardCharsets.UTF_8));
        }
        HttpResponse<String> response;
        try {
            response = http.send(request.build(), HttpResponse.BodyHandlers.ofString(StandardCharsets.UTF_8));
        } catch (ConnectException | HttpConnectTimeoutException e) {
            throw new CommandException(ExitCode.UNAVAILABLE, "cannot connect to a daemon at " + address);
        } catch (IOException e) {
            throw new CommandException(
                    body.isPresent() ? ExitCode.UNKNOWN : ExitCode.UNAVAILABLE,
                    "no complete response from " + address + ": " + e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new CommandException(ExitCode.UNKNOWN, "interrupted while waiting for a response");
        }
        if (response.statusCode() == 200) {
            return response.body();
        }
        throw new CommandException(exitCode(response.statusCode()), message(address, response));
    }

    private static int exitCode(int status) {
        return switch (status) {
            case 409 -> ExitCode.CONFLICT;
            case 503 -> ExitCode.UNAVAILABLE;
            case 504 -> ExitCode.UNKNOWN;
            default -> ExitCode.REFUSED;
        };
    }

    private static String message(String address, HttpResponse<String> response) {
        try {
            String text = MAPPER.readTree(response.body())
                    .path("error")
                    .path("message")
                    .asText();
            if (!text.isEmpty()) {
                return text;
            }
        } catch (JsonProcessingException e) {
            // Not JSON: the message below contains the body as it is.
        }
        return address + " answered " + response.statusCode() + ": "
                + response.body().strip();
    }
}
