package org.pollensill.standin;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

import com.fasterxml.jackson.databind.JsonNode;
import org.pollensill.platform.Commit;
import org.pollensill.platform.CommitOutcome;
import org.pollensill.platform.Condition;
import org.pollensill.platform.Host;
import org.pollensill.platform.Prefix;
import org.pollensill.platform.Row;
import org.pollensill.platform.Write;

/** Serves the table service, the object store and the host list on one port. */
final class PlatformFrontend implements HttpListener.Handler {

    // Calls that would queue for longer are refused, as an overloaded service does.
    private static final double MAX_WAIT_MS = 2000;

    private final TableStore tables = new TableStore();
    private final Map<String, byte[]> objects = new ConcurrentHashMap<>();
    private final HostDirectory directory;
    private final StoreFaults faults;
    private final Clock clock;
    private final long latencyMs;
    private final RateLimiter reads;
    private final RateLimiter writes;
    private final Map<String, LongAdder> counters = new ConcurrentHashMap<>();

    PlatformFrontend(StandinConfig.Store limits, HostDirectory directory, StoreFaults faults, Clock clock) {
        this.directory = Objects.requireNonNull(directory, "directory is null");
        this.faults = Objects.requireNonNull(faults, "faults is null");
        this.clock = Objects.requireNonNull(clock, "clock is null");
        this.latencyMs = limits.latencyMs();
        this.reads = new RateLimiter(limits.readsPerSecond());
        this.writes = new RateLimiter(limits.writesPerSecond());
    }

    @Override
    public void handle(Exchange exchange) throws IOException {
        String path = exchange.path();
        if (path.equals("/hosts")) {
            count("hostListReads");
            exchange.answer(200, Map.of("hosts", hostList()));
            return;
        }
        boolean objectCall = path.startsWith("/objects/");
        boolean write = path.equals("/tables/commit")
                || objectCall && !exchange.method().equals("GET");
        if (!objectCall && !write && !path.equals("/tables/read")) {
            exchange.answer(404, "no such path");
            return;
        }
        long nowMs = clock.nowMs();
        double waitMs = (write ? writes : reads).delayMs(nowMs);
        if (faults.isDown(nowMs) || waitMs > MAX_WAIT_MS) {
            count("storeRefusals");
            exchange.answer(503, "store is down");
            return;
        }
        count(write ? "storeWrites" : "storeReads");
        // A call takes effect halfway through its latency, so that a caller can time out before or after the effect.
        double delayMs = latencyMs + waitMs + faults.delayMs(nowMs);
        exchange.schedule(delayMs / 2, () -> perform(exchange, delayMs / 2));
    }

    private void perform(Exchange exchange, double answerDelayMs) {
        if (faults.isDown(clock.nowMs())) {
            exchange.closeWithoutAnswer();
            return;
        }
        Runnable answer;
        try {
            answer = switch (exchange.path()) {
                case "/tables/read" -> read(exchange);
                case "/tables/commit" -> commit(exchange);
                default -> object(exchange);
            };
        } catch (IOException | IllegalArgumentException | NullPointerException e) {
            exchange.answer(400, String.valueOf(e.getMessage()));
            return;
        }
        exchange.schedule(answerDelayMs, answer);
    }

    private Runnable read(Exchange exchange) throws IOException {
        JsonNode request = exchange.json();
        List<String> keys = new ArrayList<>();
        request.path("keys").forEach(key -> keys.add(key.asText()));
        List<Prefix> prefixes = new ArrayList<>();
        for (JsonNode prefix : request.path("prefixes")) {
            int limit = prefix.path("limit").asInt(1000);
            prefixes.add(new Prefix(
                    prefix.path("prefix").asText(), prefix.path("after").asText(""), limit));
        }
        List<Row> rows = tables.read(keys, prefixes);
        return () -> exchange.answer(200, Map.of("rows", rows));
    }

    private Runnable commit(Exchange exchange) throws IOException {
        Commit commit = parseCommit(exchange.json());
        CommitOutcome outcome = tables.commit(commit);
        if (outcome instanceof CommitOutcome.Conflicted conflicted) {
            count("storeConflicts");
            List<Map<String, Object>> conflicts = new ArrayList<>();
            conflicted.versions().forEach((key, version) -> conflicts.add(Map.of("key", key, "version", version)));
            return () -> exchange.answer(409, Map.of("conflicts", conflicts));
        }
        commit.writes().forEach(write -> count("storeRowsWritten"));
        if (faults.takeDroppedAnswer(commit.writes().stream().map(Write::key).toList())) {
            count("storeLostAnswers");
            return exchange::closeWithoutAnswer;
        }
        Map<String, Long> versions = ((CommitOutcome.Committed) outcome).versions();
        return () -> exchange.answer(200, Map.of("versions", versions));
    }

    private static Commit parseCommit(JsonNode request) {
        List<Condition> conditions = new ArrayList<>();
        for (JsonNode condition : request.path("conditions")) {
            conditions.add(new Condition(
                    condition.path("key").asText(), condition.path("version").asLong()));
        }
        List<Write> writes = new ArrayList<>();
        for (JsonNode write : request.path("writes")) {
            boolean delete = write.path("delete").asBoolean(false);
            if (!delete && !write.hasNonNull("value")) {
                throw new IllegalArgumentException("a write has neither value nor delete");
            }
            Optional<String> value =
                    delete ? Optional.empty() : Optional.of(write.path("value").asText());
            writes.add(new Write(write.path("key").asText(), value));
        }
        return new Commit(request.path("commitId").asText(), conditions, writes);
    }

    private Runnable object(Exchange exchange) {
        String name = exchange.path().substring("/objects/".length());
        switch (exchange.method()) {
            case "PUT" -> objects.put(name, exchange.body());
            case "DELETE" -> objects.remove(name);
            case "GET" -> {
                byte[] content = objects.get(name);
                if (content == null) {
                    return () -> exchange.answer(404, "no such object");
                }
                return () -> exchange.answer(200, Map.of("content-type", "application/octet-stream"), content);
            }
            default -> {
                return () -> exchange.answer(405, "method is not supported");
            }
        }
        return () -> exchange.answer(200, Map.of(), new byte[0]);
    }

    private List<Map<String, Object>> hostList() {
        List<Map<String, Object>> hosts = new ArrayList<>();
        for (Host host : directory.visible(clock.nowMs())) {
            Map<String, Object> entry = new LinkedHashMap<>();
            entry.put("name", host.name());
            entry.put("address", host.address());
            entry.put("role", host.role().name().toLowerCase());
            entry.put("service", host.service());
            entry.put("region", host.region());
            entry.put("zone", host.zone());
            entry.put("rack", host.rack());
            entry.put("state", host.state().name().toLowerCase());
            entry.put("processorsMillicores", host.processorsMillicores());
            entry.put("memoryBytes", host.memoryBytes());
            entry.put("accelerators", host.accelerators());
            entry.put("slots", host.slots());
            entry.put("connections", host.connections());
            hosts.add(entry);
        }
        return hosts;
    }

    private void count(String counter) {
        counters.computeIfAbsent(counter, key -> new LongAdder()).increment();
    }

    /** Returns the counters of the table service, the object store and the host list. */
    Map<String, Object> counters() {
        Map<String, Object> result = new TreeMap<>();
        for (String name : List.of(
                "storeReads",
                "storeWrites",
                "storeRowsWritten",
                "storeConflicts",
                "storeLostAnswers",
                "storeRefusals",
                "hostListReads")) {
            result.put(name, 0L);
        }
        counters.forEach((name, adder) -> result.put(name, adder.sum()));
        result.put("storeRows", tables.size());
        result.put("storeObjects", objects.size());
        return result;
    }
}
