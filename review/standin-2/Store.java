import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;

/** Stand-in of the platform's store: rows, transactions and the feed of changes, as PROTOCOL.md describes them. */
final class Store {

    private static final int MAX_ROWS = 500;
    private static final int MAX_BYTES = 1_000_000;
    private static final long HISTORY_MS = 20_000;
    private static final long ANSWER_MS = 4;

    private record Row(String value, long version) {}

    private record Change(long version, long atMs, String table, String part, String key, String value) {}

    private final Map<String, NavigableMap<String, Row>> parts = new HashMap<>();
    private final Deque<Change> history = new ArrayDeque<>();
    private final HttpServer server;
    private long version = 1;
    private long forgotten;

    Store(String ip, ExecutorService threads) throws IOException {
        server = Http.serve(new InetSocketAddress(ip, 0), threads, this::handle);
    }

    String address() {
        return server.getAddress().getAddress().getHostAddress() + ":" + server.getAddress().getPort();
    }

    void stop() {
        server.stop(0);
    }

    private static long nowMs() {
        return System.nanoTime() / 1_000_000;
    }

    private NavigableMap<String, Row> part(String table, String part) {
        return parts.computeIfAbsent(table + "@" + part, name -> new TreeMap<>());
    }

    /** Writes or removes a row of the operator or of a runner. */
    synchronized void write(String table, String key, String value) {
        version++;
        change(table, "", key, value == null
                ? null
                : Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)));
        notifyAll();
    }

    synchronized String read(String table, String key) {
        Row row = part(table, "").get(key);
        return row == null ? null : new String(Base64.getDecoder().decode(row.value()), StandardCharsets.UTF_8);
    }

    /** Returns the number of rows of a table, in all its parts. */
    synchronized int count(String table) {
        return parts.entrySet().stream()
                .filter(part -> part.getKey().startsWith(table + "@"))
                .mapToInt(part -> part.getValue().size())
                .sum();
    }

    /** Adds rows that were written longer ago than the history goes back. */
    synchronized void addOldRows(String table, List<String> keys, String value) {
        String encoded = Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8));
        keys.forEach(key -> part(table, "").put(key, new Row(encoded, version)));
    }

    private void change(String table, String part, String key, String value) {
        if (value == null) {
            part(table, part).remove(key);
        } else {
            part(table, part).put(key, new Row(value, version));
        }
        history.add(new Change(version, nowMs(), table, part, key, value));
        while (history.getFirst().atMs() < nowMs() - HISTORY_MS) {
            forgotten = history.removeFirst().version();
        }
    }

    private static Map<String, String> query(HttpExchange exchange) {
        Map<String, String> query = new HashMap<>();
        String raw = exchange.getRequestURI().getRawQuery();
        if (raw != null) {
            for (String pair : raw.split("&")) {
                int equals = pair.indexOf('=');
                query.put(
                        pair.substring(0, equals),
                        URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        return query;
    }

    private Http.Answer handle(HttpExchange exchange, String body) throws InterruptedException {
        Thread.sleep(ANSWER_MS);
        switch (exchange.getRequestURI().getPath()) {
            case "/api/rows-tx":
                return transaction(Json.object(body), body.length());
            case "/api/rows-get":
                return rows(query(exchange));
            case "/api/rows-feed":
                return feed(query(exchange));
            default:
                return new Http.Answer(404, "");
        }
    }

    private Map<String, Object> tail() {
        return Json.of("SchemaVersion", version, "NowMs", nowMs());
    }

    private static Map<String, Object> row(String table, String part, String key, Row row) {
        return Json.of(
                "Table", table, "part", part, "Key", key, "Value", row.value(), "SchemaVersion", row.version());
    }

    private synchronized Http.Answer transaction(Map<String, Object> call, int bytes) {
        List<Map<String, Object>> expected = Json.objects(call, "Expected");
        List<Map<String, Object>> put = Json.objects(call, "Put");
        List<Map<String, Object>> remove = Json.objects(call, "Remove");
        if (bytes > MAX_BYTES || expected.size() + put.size() + remove.size() > 100) {
            return new Http.Answer(400, "");
        }
        boolean holds = true;
        List<Object> present = new ArrayList<>();
        for (Map<String, Object> entry : expected) {
            String table = Json.string(entry, "Table");
            String part = Json.string(entry, "part");
            String key = Json.string(entry, "Key");
            Row row = part(table, part).get(key);
            holds &= Json.number(entry, "SchemaVersion", 0) == (row == null ? 0 : row.version());
            if (row != null) {
                present.add(row(table, part, key, row));
            }
        }
        if (!holds) {
            Map<String, Object> answer = Json.of("rows", present);
            answer.putAll(tail());
            return new Http.Answer(412, Json.write(answer));
        }
        version++;
        for (Map<String, Object> entry : put) {
            change(
                    Json.string(entry, "Table"),
                    Json.string(entry, "part"),
                    Json.string(entry, "Key"),
                    Json.string(entry, "Value"));
        }
        for (Map<String, Object> entry : remove) {
            change(Json.string(entry, "Table"), Json.string(entry, "part"), Json.string(entry, "Key"), null);
        }
        notifyAll();
        return new Http.Answer(200, Json.write(tail()));
    }

    private synchronized Http.Answer rows(Map<String, String> query) {
        String table = query.getOrDefault("Table", "");
        String part = query.getOrDefault("part", "");
        int limit = Math.min(MAX_ROWS, Integer.parseInt(query.getOrDefault("Limit", "" + MAX_ROWS)));
        NavigableMap<String, Row> range = part(table, part).tailMap(query.getOrDefault("From", ""), true);
        if (query.containsKey("Target")) {
            range = range.headMap(query.get("Target"), false);
        }
        List<Object> page = new ArrayList<>();
        int bytes = 0;
        boolean truncated = false;
        for (Map.Entry<String, Row> entry : range.entrySet()) {
            bytes += entry.getValue().value().length();
            truncated = page.size() == limit || bytes > MAX_BYTES;
            if (truncated) {
                break;
            }
            page.add(row(table, part, entry.getKey(), entry.getValue()));
        }
        Map<String, Object> answer = Json.of("rows", page, "Truncated", truncated);
        answer.putAll(tail());
        return new Http.Answer(200, Json.write(answer));
    }

    private List<Object> changes(String table, long after) {
        List<Object> changes = new ArrayList<>();
        for (Change change : history) {
            if (change.version() > after && change.table().equals(table)) {
                changes.add(
                        change.value() == null
                                ? Json.of(
                                        "Table", table, "part", change.part(), "Key", change.key(),
                                        "Deleted", true, "SchemaVersion", change.version())
                                : row(table, change.part(), change.key(), new Row(change.value(), change.version())));
            }
        }
        return changes;
    }

    private synchronized Http.Answer feed(Map<String, String> query) throws InterruptedException {
        String table = query.getOrDefault("Table", "");
        long after = Long.parseLong(query.getOrDefault("After", "0"));
        long endMs = nowMs() + Math.min(30_000, Long.parseLong(query.getOrDefault("WaitMs", "0")));
        while (true) {
            if (after < forgotten) {
                return new Http.Answer(410, "");
            }
            List<Object> changes = changes(table, after);
            long leftMs = endMs - nowMs();
            if (!changes.isEmpty() || leftMs <= 0) {
                Map<String, Object> answer = Json.of("rows", changes);
                answer.putAll(tail());
                return new Http.Answer(200, Json.write(answer));
            }
            wait(leftMs);
        }
    }
}
