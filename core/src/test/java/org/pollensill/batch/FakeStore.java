package org.pollensill.batch;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.pollensill.platform.Commit;
import org.pollensill.platform.Condition;
import org.pollensill.platform.Row;
import org.pollensill.platform.Write;

/** In-memory table service and object store. */
final class FakeStore {

    final TreeMap<String, Row> rows = new TreeMap<>();
    final Map<String, byte[]> objects = new HashMap<>();
    final java.util.Set<String> placedAttempts = new java.util.HashSet<>();
    long lastVersion;

    /** Applies a commit and returns the new row versions, empty if a condition failed. */
    Optional<Map<String, Long>> commit(Commit commit) {
        for (Condition condition : commit.conditions()) {
            long version = Optional.ofNullable(rows.get(condition.key()))
                    .map(Row::version)
                    .orElse(Condition.ABSENT);
            if (version != condition.version()) {
                return Optional.empty();
            }
        }
        Map<String, Long> written = new HashMap<>();
        for (Write write : commit.writes()) {
            if (write.value().isEmpty()) {
                rows.remove(write.key());
                continue;
            }
            lastVersion++;
            write.value().get().lines().filter(line -> line.startsWith("P ")).forEach(line -> {
                String[] fields = line.split(" ");
                placedAttempts.add(fields[1] + "#" + fields[2]);
            });
            rows.put(
                    write.key(), new Row(write.key(), lastVersion, write.value().get()));
            written.put(write.key(), lastVersion);
        }
        return Optional.of(written);
    }

    Optional<Row> head(ShardPath path) {
        return Optional.ofNullable(rows.get(path.head()));
    }

    ShardImage image(ShardPath path) {
        Optional<Row> head = head(path);
        if (head.isEmpty()) {
            return new ShardImage(head, Optional.empty(), java.util.List.of());
        }
        long snapshotSequence = ShardHead.parse(head.get().value()).snapshotSequence();
        Optional<byte[]> snapshot = snapshotSequence == 0
                ? Optional.empty()
                : Optional.ofNullable(objects.get(path.snapshot(snapshotSequence)));
        return new ShardImage(
                head,
                snapshot,
                rows.subMap(path.log(snapshotSequence + 1), path.logPrefix() + "~").values().stream()
                        .toList());
    }
}
