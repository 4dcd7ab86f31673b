package org.pollensill.claim;

import java.io.IOException;
import java.util.Base64;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Value of a claim's row. A row without an answer means that the request may have run.
 *
 * @param claimId id of the claim, by which its writer recognises it when the result of its commit was lost
 * @param payloadHash hash of the request's method, path and body
 * @param host host of the process that claimed
 * @param incarnation incarnation of the process that claimed
 * @param claimedAtMs wall-clock time of the claim, for its expiry
 * @param answer the answer, once the request is completed
 */
public record ClaimRow(
        String claimId,
        String payloadHash,
        String host,
        String incarnation,
        long claimedAtMs,
        Optional<StoredAnswer> answer) {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    /**
     * Creates a row.
     *
     * @throws NullPointerException if an argument is null
     */
    public ClaimRow {
        Objects.requireNonNull(claimId, "claimId is null");
        Objects.requireNonNull(payloadHash, "payloadHash is null");
        Objects.requireNonNull(host, "host is null");
        Objects.requireNonNull(incarnation, "incarnation is null");
        Objects.requireNonNull(answer, "answer is null");
    }

    /**
     * Returns this row with the request's answer.
     *
     * @param outcome the answer
     * @return the row
     */
    public ClaimRow completed(StoredAnswer outcome) {
        return new ClaimRow(claimId, payloadHash, host, incarnation, claimedAtMs, Optional.of(outcome));
    }

    /**
     * Encodes the row as JSON.
     *
     * @return the JSON text
     */
    public String encode() {
        ObjectNode node = MAPPER.createObjectNode();
        node.put("claimId", claimId);
        node.put("payloadHash", payloadHash);
        node.put("host", host);
        node.put("incarnation", incarnation);
        node.put("claimedAtMs", claimedAtMs);
        node.put("state", answer.isPresent() ? "completed" : "claimed");
        answer.ifPresent(stored -> {
            ObjectNode answerNode = node.putObject("answer");
            answerNode.put("status", stored.status());
            ObjectNode headers = answerNode.putObject("headers");
            stored.headers().forEach(headers::put);
            if (stored.bodyStored()) {
                answerNode.put("body", Base64.getEncoder().encodeToString(stored.body()));
            }
        });
        return node.toString();
    }

    /**
     * Decodes a row from JSON.
     *
     * @param text the JSON text
     * @return the row
     * @throws ClaimRowException if the text is not an encoded claim
     */
    public static ClaimRow decode(String text) throws ClaimRowException {
        try {
            JsonNode node = MAPPER.readTree(text);
            return new ClaimRow(
                    required(node, "claimId"),
                    required(node, "payloadHash"),
                    required(node, "host"),
                    required(node, "incarnation"),
                    node.path("claimedAtMs").asLong(),
                    answer(node));
        } catch (IOException | IllegalArgumentException e) {
            throw new ClaimRowException(text.length(), e);
        }
    }

    private static Optional<StoredAnswer> answer(JsonNode node) {
        JsonNode stored = node.path("answer");
        if (!stored.isObject()) {
            return Optional.empty();
        }
        Map<String, String> headers = new HashMap<>();
        stored.path("headers")
                .fields()
                .forEachRemaining(
                        header -> headers.put(header.getKey(), header.getValue().asText()));
        boolean bodyStored = stored.has("body");
        byte[] body = bodyStored ? Base64.getDecoder().decode(stored.get("body").asText()) : new byte[0];
        return Optional.of(new StoredAnswer(stored.path("status").asInt(), headers, body, bodyStored));
    }

    private static String required(JsonNode node, String name) {
        JsonNode value = node.path(name);
        if (!value.isTextual()) {
            throw new IllegalArgumentException(name + " is missing or not a string");
        }
        return value.asText();
    }
}
