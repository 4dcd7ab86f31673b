package org.pollensill.runtime.settings;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.LongSupplier;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.util.RawValue;
import org.pollensill.error.Failures;
import org.pollensill.platform.PlatformException;
import org.pollensill.runtime.admin.AdminServer;
import org.pollensill.runtime.admin.Operator;
import org.pollensill.runtime.admin.Right;
import org.pollensill.runtime.http.Answer;
import org.pollensill.runtime.http.Errors;
import org.pollensill.runtime.http.Request;
import org.pollensill.runtime.http.Responder;
import org.pollensill.runtime.peer.PeerIdentity;
import org.pollensill.settings.Edit;
import org.pollensill.settings.EffectiveValue;
import org.pollensill.settings.InvalidSettingsException;
import org.pollensill.settings.Place;
import org.pollensill.settings.Problem;
import org.pollensill.settings.SettingsChange;
import org.pollensill.settings.SettingsConflictException;
import org.pollensill.settings.SettingsDelta;
import org.pollensill.settings.SettingsHistory;
import org.pollensill.settings.SettingsPath;
import org.pollensill.settings.SettingsSnapshot;
import org.pollensill.settings.SettingsTree;
import org.pollensill.settings.SettingsUnavailableException;

/** Operators' calls under {@code /settings}. The author of a change is the operator of the request's token. */
public final class SettingsAdmin {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final SettingsAgent agent;
    private final PeerIdentity self;
    private final LongSupplier nowMs;

    private SettingsAdmin(SettingsAgent agent, PeerIdentity self, LongSupplier nowMs) {
        this.agent = Objects.requireNonNull(agent, "agent is null");
        this.self = Objects.requireNonNull(self, "self is null");
        this.nowMs = Objects.requireNonNull(nowMs, "nowMs is null");
    }

    /**
     * Registers the calls with a server.
     *
     * @param server the server
     * @param agent the settings agent of this process
     * @param self the identity of this process
     * @param nowMs the wall clock
     */
    public static void register(AdminServer server, SettingsAgent agent, PeerIdentity self, LongSupplier nowMs) {
        SettingsAdmin admin = new SettingsAdmin(agent, self, nowMs);
        server.readinessCheck(agent::notReadyReason);
        server.route("GET", "/settings", Right.READ, admin.handler(admin::get));
        server.route("GET", "/settings/history", Right.READ, admin.handler(admin::history));
        server.route("GET", "/settings/diff", Right.READ, admin.handler(admin::diff));
        server.route("GET", "/settings/effective", Right.READ, admin.handler(admin::effective));
        server.route("GET", "/settings/status", Right.READ, admin.handler(admin::status));
        server.route("POST", "/settings/validate", Right.READ, admin.handler(admin::validate));
        server.route("POST", "/settings/changes", Right.CHANGE, admin.handler(admin::change));
        server.route("POST", "/settings/rollback", Right.CHANGE, admin.handler(admin::rollback));
    }

    private interface JsonCall {

        CompletableFuture<JsonNode> run(Operator operator, Map<String, String> query, byte[] body) throws Exception;
    }

    private org.pollensill.runtime.admin.AdminHandler handler(JsonCall call) {
        return (Operator operator, Request request, Responder responder) -> {
            CompletableFuture<JsonNode> result;
            try {
                result = call.run(operator, parseQuery(request), request.body());
            } catch (Exception e) {
                result = CompletableFuture.failedFuture(e);
            }
            result.whenComplete((json, failure) ->
                    responder.answer(failure == null ? Answer.json(200, json.toString()) : errorAnswer(failure)));
        };
    }

    private CompletableFuture<JsonNode> get(Operator operator, Map<String, String> query, byte[] body)
            throws InvalidSettingsException {
        SettingsSnapshot state = loadedState();
        SettingsPath path = SettingsPath.parse(query.getOrDefault("path", ""));
        long revision = longParameter(query, "revision", state.revision());
        return treeAt(state, revision).thenApply(tree -> {
            ObjectNode json = MAPPER.createObjectNode();
            json.put("revision", revision);
            json.put("path", path.toString());
            Optional<String> value = tree.get(path);
            value.ifPresent(text -> json.putRawValue("value", new RawValue(text)));
            return json;
        });
    }

    private CompletableFuture<JsonNode> history(Operator operator, Map<String, String> query, byte[] body)
            throws InvalidSettingsException {
        long limit = longParameter(query, "limit", 20);
        long after = longParameter(query, "after", Math.max(0, loadedState().revision() - limit));
        return agent.deltasAfter(after).thenApply(deltas -> {
            ArrayNode list = MAPPER.createArrayNode();
            deltas.stream().limit(limit).forEach(delta -> list.addRawValue(new RawValue(delta.toJson())));
            ObjectNode json = MAPPER.createObjectNode();
            json.put("revision", agent.revision());
            json.set("changes", list);
            return json;
        });
    }

    private CompletableFuture<JsonNode> diff(Operator operator, Map<String, String> query, byte[] body)
            throws InvalidSettingsException {
        SettingsSnapshot state = loadedState();
        long from = longParameter(query, "from", Math.max(0, state.revision() - 1));
        long to = longParameter(query, "to", state.revision());
        return treeAt(state, from).thenCombine(treeAt(state, to), (before, after) -> {
            ObjectNode json = MAPPER.createObjectNode();
            json.put("from", from);
            json.put("to", to);
            json.putRawValue("edits", new RawValue(SettingsDelta.editsJson(before.diff(after))));
            json.putRawValue("undo", new RawValue(SettingsDelta.editsJson(after.diff(before))));
            return json;
        });
    }

    private CompletableFuture<JsonNode> effective(Operator operator, Map<String, String> query, byte[] body)
            throws InvalidSettingsException {
        SettingsSnapshot state = loadedState();
        String text = query.getOrDefault("place", self.region() + "/" + self.zone());
        Place place = Place.parse(text)
                .orElseThrow(() -> new InvalidSettingsException(
                        List.of(Problem.of("place", text, "expected REGION/ZONE, REGION or defaults"))));
        org.pollensill.settings.Effective effective =
                state.tree().effective(place, longParameter(query, "atMs", nowMs.getAsLong()));
        ObjectNode json = MAPPER.createObjectNode();
        json.put("revision", state.revision());
        json.put("place", place.toString());
        ArrayNode shifts = json.putArray("activeShifts");
        effective.activeShifts().stream().sorted().forEach(shifts::add);
        if (effective.validUntilMs() != Long.MAX_VALUE) {
            json.put("nextShiftChangeMs", effective.validUntilMs());
        }
        ArrayNode values = json.putArray("values");
        for (EffectiveValue value : effective.values()) {
            values.addObject()
                    .put("path", value.path())
                    .putRawValue("value", new RawValue(value.value()))
                    .put("level", value.level());
        }
        return CompletableFuture.completedFuture(json);
    }

    private CompletableFuture<JsonNode> status(Operator operator, Map<String, String> query, byte[] body) {
        ObjectNode json = MAPPER.createObjectNode();
        json.put("revision", agent.revision());
        json.put("known", agent.state().isPresent());
        json.put("storeReachable", agent.isStoreReachable());
        ArrayNode processes = json.putArray("processes");
        addProcess(processes, self, agent.revision(), 0);
        long now = nowMs.getAsLong();
        Map<String, PeerRevision> sorted = new TreeMap<>();
        for (PeerRevision each : agent.peerRevisions()) {
            sorted.put(
                    each.peer().region()
                            + each.peer().zone()
                            + each.peer().host()
                            + each.peer().role(),
                    each);
        }
        sorted.values().forEach(each -> addProcess(processes, each.peer(), each.revision(), now - each.reportedAtMs()));
        return CompletableFuture.completedFuture(json);
    }

    private static void addProcess(ArrayNode list, PeerIdentity peer, long revision, long ageMs) {
        list.addObject()
                .put("region", peer.region())
                .put("zone", peer.zone())
                .put("host", peer.host())
                .put("role", peer.role())
                .put("revision", revision)
                .put("ageMs", ageMs);
    }

    private CompletableFuture<JsonNode> validate(Operator operator, Map<String, String> query, byte[] body)
            throws InvalidSettingsException, JsonProcessingException {
        SettingsSnapshot state = loadedState();
        JsonNode json = parseBody(body);
        if (json.has("edits")) {
            state.tree().apply(SettingsDelta.parseEdits(json.get("edits").toString()));
        } else {
            SettingsTree.parse(json.path("tree").toString());
        }
        return CompletableFuture.completedFuture(MAPPER.createObjectNode().put("valid", true));
    }

    private CompletableFuture<JsonNode> change(Operator operator, Map<String, String> query, byte[] body)
            throws InvalidSettingsException, JsonProcessingException {
        JsonNode json = parseBody(body);
        List<Edit> edits = SettingsDelta.parseEdits(json.path("edits").toString());
        return submit(operator, json, json.path("baseRevision").asLong(-1), edits);
    }

    private CompletableFuture<JsonNode> rollback(Operator operator, Map<String, String> query, byte[] body)
            throws InvalidSettingsException, JsonProcessingException {
        JsonNode json = parseBody(body);
        long target = json.path("toRevision").asLong(-1);
        SettingsSnapshot state = loadedState();
        return treeAt(state, target).thenCompose(tree -> {
            List<Edit> edits = state.tree().diff(tree);
            if (edits.isEmpty()) {
                return CompletableFuture.completedFuture(MAPPER.createObjectNode()
                        .put("revision", state.revision())
                        .put("changed", false));
            }
            return submit(operator, json, state.revision(), edits);
        });
    }

    private CompletableFuture<JsonNode> submit(Operator operator, JsonNode json, long base, List<Edit> edits) {
        SettingsChange change = new SettingsChange(
                json.path("changeId").asText(),
                operator.name(),
                json.path("reason").asText(),
                base,
                edits);
        return agent.submit(change)
                .thenApply(delta -> MAPPER.createObjectNode()
                        .put("revision", delta.revision())
                        .put("changeId", change.changeId())
                        .put("changed", true));
    }

    private CompletableFuture<SettingsTree> treeAt(SettingsSnapshot state, long revision) {
        if (revision == state.revision()) {
            return CompletableFuture.completedFuture(state.tree());
        }
        return agent.deltasAfter(revision).thenApply(deltas -> {
            try {
                return SettingsHistory.treeAt(state, revision, deltas)
                        .orElseThrow(() -> new CompletionException(new InvalidSettingsException(List.of(Problem.of(
                                "revision",
                                Long.toString(revision),
                                "not among the retained revisions up to " + state.revision())))));
            } catch (InvalidSettingsException e) {
                throw new CompletionException(e);
            }
        });
    }

    private SettingsSnapshot loadedState() throws InvalidSettingsException {
        return agent.state()
                .orElseThrow(() -> new InvalidSettingsException(List.of(
                        Problem.of("", "no settings", "neither the store nor a peer has answered this process yet"))));
    }

    private static JsonNode parseBody(byte[] body) throws InvalidSettingsException, JsonProcessingException {
        try {
            return MAPPER.readTree(new String(body, StandardCharsets.UTF_8));
        } catch (JsonProcessingException e) {
            throw new InvalidSettingsException(
                    List.of(Problem.of("body", "", "no valid JSON: " + e.getOriginalMessage())));
        }
    }

    private static Map<String, String> parseQuery(Request request) {
        Map<String, String> query = new TreeMap<>();
        int queryStart = request.uri().indexOf('?');
        if (queryStart < 0) {
            return query;
        }
        for (String pair : request.uri().substring(queryStart + 1).split("&")) {
            int equals = pair.indexOf('=');
            if (equals > 0) {
                query.put(
                        pair.substring(0, equals),
                        URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        return query;
    }

    private static long longParameter(Map<String, String> query, String name, long defaultValue)
            throws InvalidSettingsException {
        if (!query.containsKey(name)) {
            return defaultValue;
        }
        try {
            return Long.parseLong(query.get(name));
        } catch (NumberFormatException e) {
            throw new InvalidSettingsException(List.of(Problem.of(name, query.get(name), "expected an integer")));
        }
    }

    private static Answer errorAnswer(Throwable failure) {
        Throwable cause = Failures.unwrap(failure);
        String message = String.valueOf(cause.getMessage());
        if (cause instanceof InvalidSettingsException || cause instanceof IllegalArgumentException) {
            return Errors.answer(400, "settings-invalid", message, "");
        }
        if (cause instanceof SettingsConflictException) {
            return Errors.answer(409, "settings-conflict", message, "");
        }
        if (cause instanceof SettingsUnavailableException unavailable
                && unavailable.effect() == PlatformException.Effect.UNKNOWN) {
            return Errors.answer(504, "settings-unknown", message, "");
        }
        if (cause instanceof SettingsUnavailableException || cause instanceof PlatformException) {
            return Errors.answer(503, "settings-unavailable", message, "");
        }
        return Errors.answer(500, "internal", cause.toString(), "");
    }
}
