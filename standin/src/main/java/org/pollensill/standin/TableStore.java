package org.pollensill.standin;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.pollensill.platform.Commit;
import org.pollensill.platform.CommitOutcome;
import org.pollensill.platform.Condition;
import org.pollensill.platform.Prefix;
import org.pollensill.platform.Row;
import org.pollensill.platform.Write;

/** In-memory table of versioned rows with conditional multi-row commits. Values are stored as received, in base64. */
final class TableStore {

    // Keys are ASCII, so string order equals byte order.
    private final TreeMap<String, Row> rows = new TreeMap<>();
    private long highestDeletedVersion;

    synchronized List<Row> read(List<String> keys, List<Prefix> prefixes) {
        Map<String, Row> matches = new TreeMap<>();
        for (String key : keys) {
            Optional.ofNullable(rows.get(key)).ifPresent(row -> matches.put(key, row));
        }
        for (Prefix prefix : prefixes) {
            int remaining = prefix.limit();
            String from = prefix.after().compareTo(prefix.prefix()) > 0 ? prefix.after() : prefix.prefix();
            boolean inclusive = !from.equals(prefix.after());
            for (Row row : rows.tailMap(from, inclusive).values()) {
                if (remaining-- == 0 || !row.key().startsWith(prefix.prefix())) {
                    break;
                }
                matches.put(row.key(), row);
            }
        }
        return new ArrayList<>(matches.values());
    }

    synchronized CommitOutcome commit(Commit commit) {
        Map<String, Long> conflicts = new LinkedHashMap<>();
        for (Condition condition : commit.conditions()) {
            long version = versionOf(condition.key());
            if (version != condition.version()) {
                conflicts.put(condition.key(), version);
            }
        }
        if (!conflicts.isEmpty()) {
            return new CommitOutcome.Conflicted(conflicts);
        }
        Map<String, Long> versions = new LinkedHashMap<>();
        for (Write write : commit.writes()) {
            versions.put(write.key(), apply(write));
        }
        return new CommitOutcome.Committed(versions);
    }

    synchronized int size() {
        return rows.size();
    }

    private long apply(Write write) {
        long version = versionOf(write.key());
        if (write.value().isEmpty()) {
            rows.remove(write.key());
            highestDeletedVersion = Math.max(highestDeletedVersion, version);
            return Condition.ABSENT;
        }
        // A re-created row never reuses a version, since a pending condition may still refer to the deleted row.
        long next = version == Condition.ABSENT ? highestDeletedVersion + 1 : version + 1;
        rows.put(write.key(), new Row(write.key(), next, write.value().get()));
        return next;
    }

    private long versionOf(String key) {
        Row row = rows.get(key);
        return row == null ? Condition.ABSENT : row.version();
    }
}
