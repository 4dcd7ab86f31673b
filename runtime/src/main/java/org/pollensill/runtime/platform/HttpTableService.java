package org.pollensill.runtime.platform;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.pollensill.platform.Commit;
import org.pollensill.platform.CommitOutcome;
import org.pollensill.platform.Condition;
import org.pollensill.platform.PlatformException;
import org.pollensill.platform.Prefix;
import org.pollensill.platform.Row;
import org.pollensill.platform.TableService;
import org.pollensill.platform.Write;
import org.pollensill.runtime.http.Answer;
import org.pollensill.runtime.http.HttpClient;
import org.pollensill.runtime.http.Request;

/** HTTP client of the table service, with JSON bodies. */
public final class HttpTableService implements TableService {

    private final PlatformCalls calls;

    /**
     * Creates the client of a table service.
     *
     * @param client the HTTP client
     * @param address the service's address
     */
    public HttpTableService(HttpClient client, InetSocketAddress address) {
        calls = new PlatformCalls(
                Objects.requireNonNull(client, "client is null"), Objects.requireNonNull(address, "address is null"));
    }

    @Override
    public CompletableFuture<List<Row>> read(List<String> keys, List<Prefix> prefixes) {
        ObjectNode body = Json.MAPPER.createObjectNode();
        ArrayNode keyArray = body.putArray("keys");
        keys.forEach(keyArray::add);
        ArrayNode prefixArray = body.putArray("prefixes");
        for (Prefix prefix : prefixes) {
            prefixArray
                    .addObject()
                    .put("prefix", prefix.prefix())
                    .put("after", prefix.after())
                    .put("limit", prefix.limit());
        }
        return calls.send(Request.postJson("/tables/read", Json.bytes(body)), PlatformException.Effect.NONE)
                .thenCompose(answer -> answer.status() == 200
                        ? CompletableFuture.completedFuture(rows(answer))
                        : calls.failure(answer, PlatformException.Effect.NONE));
    }

    @Override
    public CompletableFuture<CommitOutcome> commit(Commit commit) {
        ObjectNode body = Json.MAPPER.createObjectNode().put("commitId", commit.commitId());
        ArrayNode conditions = body.putArray("conditions");
        for (Condition condition : commit.conditions()) {
            conditions.addObject().put("key", condition.key()).put("version", condition.version());
        }
        ArrayNode writes = body.putArray("writes");
        for (Write write : commit.writes()) {
            ObjectNode node = writes.addObject().put("key", write.key());
            write.value().ifPresentOrElse(value -> node.put("value", encode(value)), () -> node.put("delete", true));
        }
        return calls.send(Request.postJson("/tables/commit", Json.bytes(body)), PlatformException.Effect.UNKNOWN)
                .thenCompose(this::outcome);
    }

    private CompletableFuture<CommitOutcome> outcome(Answer answer) {
        if (answer.status() == 200) {
            Map<String, Long> versions = new HashMap<>();
            Json.parse(answer.body())
                    .path("versions")
                    .fields()
                    .forEachRemaining(field ->
                            versions.put(field.getKey(), field.getValue().asLong()));
            return CompletableFuture.completedFuture(new CommitOutcome.Committed(versions));
        }
        if (answer.status() == 409) {
            Map<String, Long> versions = new HashMap<>();
            for (JsonNode conflict : Json.parse(answer.body()).path("conflicts")) {
                versions.put(
                        conflict.path("key").asText(), conflict.path("version").asLong());
            }
            return CompletableFuture.completedFuture(new CommitOutcome.Conflicted(versions));
        }
        boolean refused = answer.status() == 503 || answer.status() == 400;
        return calls.failure(answer, refused ? PlatformException.Effect.NONE : PlatformException.Effect.UNKNOWN);
    }

    private static List<Row> rows(Answer answer) {
        List<Row> rows = new ArrayList<>();
        for (JsonNode row : Json.parse(answer.body()).path("rows")) {
            rows.add(new Row(
                    row.path("key").asText(),
                    row.path("version").asLong(),
                    decode(row.path("value").asText())));
        }
        return rows;
    }

    private static String encode(String value) {
        return Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8));
    }

    private static String decode(String value) {
        return new String(Base64.getDecoder().decode(value), StandardCharsets.UTF_8);
    }
}
