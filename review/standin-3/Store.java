import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's metadata store: tables of rows, transactions, ranges and change feeds, as PROTOCOL.md tells them. */
final class Store {

    private static final int MAX_ENTRIES = 100;
    private static final int MAX_BYTES = 1_000_000;
    private static final int MAX_ROW_BYTES = 65_536;
    private static final int MAX_PAGE_ROWS = 500;
    private static final long TX_MS = 3;

    private record Name(String table, String part, String key) implements Comparable<Name> {
        @Override
        public int compareTo(Name other) {
            int order = table.compareTo(other.table);
            order = order != 0 ? order : part.compareTo(other.part);
            return order != 0
                    ? order
                    : Arrays.compareUnsigned(
                            key.getBytes(StandardCharsets.UTF_8), other.key.getBytes(StandardCharsets.UTF_8));
        }
    }

    private record Row(String value, long version) {}

    private record Change(Name name, long version) {}

    private final TreeMap<Name, Row> rows = new TreeMap<>();
    private final List<Change> changes = new ArrayList<>();
    private final HttpServer server;
    private long version = 1;

    Store(String ip) throws IOException {
        server = Http.serve(ip, 0, (method, path, query, body, exchange) -> call(path, query, body));
    }

    String address() {
        return server.getAddress().getAddress().getHostAddress() + ":"
                + server.getAddress().getPort();
    }

    /** Writes a row on behalf of the operator or of a runner; an empty value removes it. */
    synchronized void put(String table, String key, String value) {
        version++;
        Name name = new Name(table, "", key);
        if (value.isEmpty()) {
            rows.remove(name);
        } else {
            rows.put(
                    name,
                    new Row(Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)), version));
        }
        changes.add(new Change(name, version));
        notifyAll();
    }

    /** Returns the value of a row, empty where there is none. */
    synchronized String get(String table, String part, String key) {
        Row row = rows.get(new Name(table, part, key));
        return row == null ? "" : new String(Base64.getDecoder().decode(row.value()), StandardCharsets.UTF_8);
    }

    private Http.Answer call(String path, Map<String, String> query, String body) throws InterruptedException {
        switch (path) {
            case "/api/rows-tx":
                return transaction(Json.object(body), body.length());
            case "/api/rows-get":
                return range(query);
            case "/api/rows-feed":
                return feed(query);
            default:
                return new Http.Answer(404, "");
        }
    }

    private static Name name(Map<String, Object> entry) {
        return new Name(
                (String) entry.get("Table"),
                entry.get("part") == null ? "" : (String) entry.get("part"),
                (String) entry.get("Key"));
    }

    private synchronized Http.Answer transaction(Map<String, Object> call, int bytes) throws InterruptedException {
        Thread.sleep(TX_MS);
        List<Map<String, Object>> expected = Json.objects(call.get("Expected"));
        List<Map<String, Object>> put = Json.objects(call.get("Put"));
        List<Map<String, Object>> remove = Json.objects(call.get("Remove"));
        boolean tooLarge = expected.size() + put.size() + remove.size() > MAX_ENTRIES || bytes > MAX_BYTES;
        for (Map<String, Object> entry : put) {
            tooLarge |= Base64.getDecoder().decode((String) entry.get("Value")).length > MAX_ROW_BYTES;
        }
        if (tooLarge) {
            return new Http.Answer(400, "{}");
        }
        boolean holds = true;
        List<Object> current = new ArrayList<>();
        for (Map<String, Object> entry : expected) {
            Row row = rows.get(name(entry));
            holds &= (row == null ? 0 : row.version()) == Json.number(entry.get("SchemaVersion"));
            if (row != null) {
                current.add(shown(name(entry), row));
            }
        }
        if (!holds) {
            return new Http.Answer(412, Json.write(Map.of("rows", current, "SchemaVersion", version, "NowMs", nowMs())));
        }
        version++;
        for (Map<String, Object> entry : put) {
            rows.put(name(entry), new Row((String) entry.get("Value"), version));
            changes.add(new Change(name(entry), version));
        }
        for (Map<String, Object> entry : remove) {
            if (rows.remove(name(entry)) != null) {
                changes.add(new Change(name(entry), version));
            }
        }
        notifyAll();
        return new Http.Answer(200, Json.write(Map.of("SchemaVersion", version, "NowMs", nowMs())));
    }

    private static long nowMs() {
        return System.nanoTime() / 1_000_000;
    }

    private static Map<String, Object> shown(Name name, Row row) {
        Map<String, Object> shown = new LinkedHashMap<>();
        shown.put("Table", name.table());
        shown.put("part", name.part());
        shown.put("Key", name.key());
        shown.put("Value", row.value());
        shown.put("SchemaVersion", row.version());
        return shown;
    }

    private synchronized Http.Answer range(Map<String, String> query) {
        String table = query.get("Table");
        String part = query.getOrDefault("part", "");
        String target = query.getOrDefault("Target", "");
        long limit = Math.min(MAX_PAGE_ROWS, Long.parseLong(query.getOrDefault("Limit", "500")));
        List<Object> found = new ArrayList<>();
        boolean truncated = false;
        long bytes = 0;
        Name from = new Name(table, part, query.getOrDefault("From", ""));
        for (Map.Entry<Name, Row> entry : rows.tailMap(from, true).entrySet()) {
            Name name = entry.getKey();
            boolean before = target.isEmpty() || name.compareTo(new Name(table, part, target)) < 0;
            if (!name.table().equals(table) || !name.part().equals(part) || !before) {
                break;
            }
            bytes += entry.getValue().value().length();
            if (found.size() >= limit || bytes > MAX_BYTES) {
                truncated = true;
                break;
            }
            found.add(shown(name, entry.getValue()));
        }
        return new Http.Answer(
                200,
                Json.write(Map.of("rows", found, "Truncated", truncated, "SchemaVersion", version, "NowMs", nowMs())));
    }

    private synchronized Http.Answer feed(Map<String, String> query) throws InterruptedException {
        String table = query.get("Table");
        long after = Long.parseLong(query.get("After"));
        long endMs = nowMs() + Math.min(30_000, Long.parseLong(query.getOrDefault("WaitMs", "0")));
        while (true) {
            Map<Name, Long> latest = new LinkedHashMap<>();
            for (int i = changes.size() - 1; i >= 0 && changes.get(i).version() > after; i--) {
                if (changes.get(i).name().table().equals(table)) {
                    latest.putIfAbsent(changes.get(i).name(), changes.get(i).version());
                }
            }
            long waitMs = endMs - nowMs();
            if (latest.isEmpty() && waitMs > 0) {
                wait(waitMs);
                continue;
            }
            List<Name> names = new ArrayList<>(latest.keySet());
            names.sort((first, second) -> Long.compare(latest.get(first), latest.get(second)));
            List<Object> found = new ArrayList<>();
            for (Name name : names) {
                Row row = rows.get(name);
                Map<String, Object> shown = shown(name, row == null ? new Row("", latest.get(name)) : row);
                if (row == null) {
                    shown.put("Deleted", true);
                }
                found.add(shown);
            }
            return new Http.Answer(
                    200, Json.write(Map.of("rows", found, "SchemaVersion", version, "NowMs", nowMs())));
        }
    }
}
