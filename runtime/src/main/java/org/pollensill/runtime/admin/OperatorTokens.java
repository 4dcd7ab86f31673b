package org.pollensill.runtime.admin;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.pollensill.runtime.http.Request;

/**
 * Bearer tokens of operators, read from a file of the form
 * {@code {"tokens":[{"token":"...","name":"ana","rights":["read","change"]}]}}.
 */
public final class OperatorTokens {

    private static final String BEARER_PREFIX = "Bearer ";

    private final List<Entry> entries;

    private record Entry(byte[] token, Operator operator) {}

    private OperatorTokens(List<Entry> entries) {
        this.entries = entries;
    }

    /**
     * Returns an empty set of tokens, with which every request that needs a right is rejected.
     *
     * @return the empty set of tokens
     */
    public static OperatorTokens empty() {
        return new OperatorTokens(List.of());
    }

    /**
     * Reads a token file.
     *
     * @param file JSON with comments
     * @return the tokens
     * @throws OperatorTokensException if the file cannot be read or has an entry without token or name or with an
     *     unknown right
     */
    public static OperatorTokens read(Path file) throws OperatorTokensException {
        Objects.requireNonNull(file, "file is null");
        JsonMapper mapper =
                JsonMapper.builder().enable(JsonReadFeature.ALLOW_JAVA_COMMENTS).build();
        List<Entry> entries = new ArrayList<>();
        try {
            for (JsonNode node : mapper.readTree(Files.readString(file)).path("tokens")) {
                String token = node.path("token").asText();
                String name = node.path("name").asText();
                if (token.isEmpty() || name.isEmpty()) {
                    throw new OperatorTokensException(file, "an entry has no token or no name");
                }
                entries.add(new Entry(token.getBytes(StandardCharsets.UTF_8), new Operator(name, rights(file, node))));
            }
        } catch (IOException e) {
            throw new OperatorTokensException(file, e.getMessage());
        }
        return new OperatorTokens(List.copyOf(entries));
    }

    private static Set<Right> rights(Path file, JsonNode node) throws OperatorTokensException {
        EnumSet<Right> rights = EnumSet.noneOf(Right.class);
        for (JsonNode right : node.path("rights")) {
            switch (right.asText()) {
                case "read" -> rights.add(Right.READ);
                case "change" -> rights.add(Right.CHANGE);
                default -> throw new OperatorTokensException(file, "unknown right " + right.asText());
            }
        }
        return rights;
    }

    /**
     * Finds the operator of a request by its bearer token.
     *
     * @param request the request
     * @return the operator, empty if the token is missing or unknown
     */
    public Optional<Operator> operator(Request request) {
        Optional<String> header = request.headers().get("Authorization");
        if (header.isEmpty() || !header.get().startsWith(BEARER_PREFIX)) {
            return Optional.empty();
        }
        byte[] token = header.get().substring(BEARER_PREFIX.length()).strip().getBytes(StandardCharsets.UTF_8);
        for (Entry entry : entries) {
            if (MessageDigest.isEqual(entry.token, token)) {
                return Optional.of(entry.operator);
            }
        }
        return Optional.empty();
    }
}
