import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import org.pollensill.json.JsonObject;

/** The platform's metadata store: rows, conditional transactions and the change feed, as PROTOCOL.md describes them. */
final class Store {
    static final int ROW_BYTES = 65_536;
    private static final int MAX_BODY_BYTES = 1_000_000;
    private static final int MAX_ENTRIES = 100;
    private static final int MAX_ROWS = 500;
    private static final int MAX_PAGE_BYTES = 1_000_000;
    private static final long HISTORY_MS = 20_000;
    private static final long TX_MS = 3;

    /** What happens to a write call besides or instead of its usual handling. */
    enum Fault {
        NONE,
        /** The call gets no answer and is carried out later, if its condition still holds then. */
        LATE
    }

    /** Chooses the fault of a write call from the keys that it writes. */
    interface FaultPlan {
        Fault of(List<String> keys);
    }

    private record Value(String base64, long version) {}

    private record Change(long version, long atMs, String table, String part, String key, String base64) {}

    private final Map<String, NavigableMap<String, Value>> parts = new HashMap<>();
    private final List<Change> history = new ArrayList<>();
    private final Journal journal;
    private final HttpServer server;
    private long version = 1;
    /** Version of the newest change that the history has forgotten. */
    private long forgotten;
    volatile FaultPlan faults = keys -> Fault.NONE;
    volatile long lateMs = 5_500;
    volatile int writes;
    private volatile int refusedRows;

    Store(Journal journal, String ip, int port) throws Exception {
        this.journal = journal;
        this.server = Http.serve(ip, port, this::handle);
    }

    void close() {
        server.stop(0);
    }

    private Http.Response handle(
            String method, String path, Map<String, String> query, HttpExchange exchange, byte[] body) throws Exception {
        switch (path) {
            case "/api/rows-tx":
                return transaction(body);
            case "/api/rows-get":
                return rows(query);
            case "/api/rows-feed":
                return feed(query);
            default:
                return new Http.Response(404, "");
        }
    }

    private static String rowText(String table, String part, String key, Value value) {
        return "{\"Table\":\"" + table + "\",\"part\":\"" + part + "\",\"Key\":\"" + key + "\",\"Value\":\"" + value.base64()
                + "\",\"SchemaVersion\":" + value.version() + "}";
    }

    private String tail() {
        return "\"SchemaVersion\":" + version + ",\"NowMs\":" + System.nanoTime() / 1_000_000 + "}";
    }

    private NavigableMap<String, Value> part(String table, String part) {
        return parts.computeIfAbsent(table + "\n" + part, name -> new TreeMap<>());
    }

    private Http.Response transaction(byte[] body) throws Exception {
        writes++;
        if (body.length > MAX_BODY_BYTES) {
            journal.log("store: 400, a call of " + body.length + " bytes, the limit is " + MAX_BODY_BYTES);
            return new Http.Response(400, "{\"Error\":\"call too large\"}");
        }
        JsonObject call = JsonObject.parse(body);
        List<JsonObject> expected = call.objects("Expected");
        List<JsonObject> put = call.objects("Put");
        List<JsonObject> remove = call.objects("Remove");
        if (expected.size() + put.size() + remove.size() > MAX_ENTRIES) {
            return new Http.Response(400, "{\"Error\":\"too many entries\"}");
        }
        List<String> keys = new ArrayList<>();
        for (JsonObject row : put) {
            String table = row.text("Table").orElse("");
            if (table.equals("op") || table.equals("servers")) {
                return new Http.Response(403, "");
            }
            int size = Base64.getDecoder().decode(row.text("Value").orElse("")).length;
            if (size > ROW_BYTES) {
                refusedRows++;
                if (refusedRows % 50 == 1) {
                    journal.log("store: 400 for the " + refusedRows + ". time, the row " + table + "/"
                            + row.text("Key").orElse("") + " has " + size
                            + " bytes, RowBytes is " + ROW_BYTES);
                }
                return new Http.Response(400, "{\"Error\":\"row too large\"}");
            }
            keys.add(table + "/" + row.text("Key").orElse(""));
        }
        Thread.sleep(TX_MS);
        if (faults.of(keys) == Fault.LATE) {
            journal.log("store: a write of " + keys + " gets no answer and is carried out " + lateMs + " ms later");
            Journal.later(lateMs, () -> {
                Http.Response outcome = apply(expected, put, remove);
                journal.log("store: the late write of " + keys + " was carried out with " + outcome.status());
            });
            Thread.sleep(60_000);
            return null;
        }
        return apply(expected, put, remove);
    }

    private synchronized Http.Response apply(List<JsonObject> expected, List<JsonObject> put, List<JsonObject> remove) {
        boolean holds = true;
        StringBuilder current = new StringBuilder();
        for (JsonObject row : expected) {
            String table = row.text("Table").orElse("");
            String part = row.text("part").orElse("");
            String key = row.text("Key").orElse("");
            Value value = part(table, part).get(key);
            holds &= row.integer("SchemaVersion").orElse(0L) == (value == null ? 0 : value.version());
            if (value != null) {
                current.append(current.length() == 0 ? "" : ",").append(rowText(table, part, key, value));
            }
        }
        if (!holds) {
            return new Http.Response(412, "{\"rows\":[" + current + "]," + tail());
        }
        version++;
        for (JsonObject row : put) {
            change(row.text("Table").orElse(""), row.text("part").orElse(""), row.text("Key").orElse(""),
                    row.text("Value").orElse(""));
        }
        for (JsonObject row : remove) {
            change(row.text("Table").orElse(""), row.text("part").orElse(""), row.text("Key").orElse(""), null);
        }
        notifyAll();
        return new Http.Response(200, "{" + tail());
    }

    private void change(String table, String part, String key, String base64) {
        if (base64 == null) {
            part(table, part).remove(key);
        } else {
            part(table, part).put(key, new Value(base64, version));
        }
        long nowMs = System.nanoTime() / 1_000_000;
        history.add(new Change(version, nowMs, table, part, key, base64));
        while (history.get(0).atMs() < nowMs - HISTORY_MS) {
            forgotten = history.remove(0).version();
        }
    }

    /** A write of the operator or of a runner; null removes the row. */
    synchronized void write(String table, String key, String text) {
        version++;
        change(table, "", key,
                text == null ? null : Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8)));
        notifyAll();
    }

    synchronized String read(String table, String key) {
        Value value = part(table, "").get(key);
        return value == null ? "" : new String(Base64.getDecoder().decode(value.base64()), StandardCharsets.UTF_8);
    }

    private synchronized Http.Response rows(Map<String, String> query) {
        NavigableMap<String, Value> range =
                part(query.getOrDefault("Table", ""), query.getOrDefault("part", "")).tailMap(
                        query.getOrDefault("From", ""), true);
        int limit = Math.min(MAX_ROWS, Integer.parseInt(query.getOrDefault("Limit", "500")));
        StringBuilder rows = new StringBuilder();
        int count = 0;
        boolean truncated = false;
        for (Map.Entry<String, Value> row : range.entrySet()) {
            if (query.containsKey("Target") && row.getKey().compareTo(query.get("Target")) >= 0) {
                break;
            }
            if (count == limit || rows.length() > MAX_PAGE_BYTES) {
                truncated = true;
                break;
            }
            rows.append(count++ == 0 ? "" : ",").append(rowText(
                    query.getOrDefault("Table", ""), query.getOrDefault("part", ""), row.getKey(), row.getValue()));
        }
        return new Http.Response(200, "{\"rows\":[" + rows + "],\"Truncated\":" + truncated + "," + tail());
    }

    private synchronized Http.Response feed(Map<String, String> query) throws InterruptedException {
        String table = query.getOrDefault("Table", "");
        long after = Long.parseLong(query.getOrDefault("After", "0"));
        long endMs = System.nanoTime() / 1_000_000 + Long.parseLong(query.getOrDefault("WaitMs", "0"));
        while (true) {
            if (after < forgotten) {
                return new Http.Response(410, "");
            }
            StringBuilder rows = new StringBuilder();
            for (Change change : history) {
                if (change.version() > after && change.table().equals(table)) {
                    rows.append(rows.length() == 0 ? "" : ",");
                    rows.append(change.base64() == null
                            ? "{\"Table\":\"" + table + "\",\"part\":\"" + change.part() + "\",\"Key\":\"" + change.key()
                                    + "\",\"Deleted\":true,\"SchemaVersion\":" + change.version() + "}"
                            : rowText(table, change.part(), change.key(), new Value(change.base64(), change.version())));
                }
            }
            long leftMs = endMs - System.nanoTime() / 1_000_000;
            if (rows.length() > 0 || leftMs <= 0) {
                return new Http.Response(200, "{\"rows\":[" + rows + "]," + tail());
            }
            wait(leftMs);
        }
    }
}
