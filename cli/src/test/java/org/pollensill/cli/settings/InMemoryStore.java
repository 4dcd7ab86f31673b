package org.pollensill.cli.settings;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

import org.pollensill.platform.Commit;
import org.pollensill.platform.CommitOutcome;
import org.pollensill.platform.ObjectStore;
import org.pollensill.platform.PlatformException;
import org.pollensill.platform.Prefix;
import org.pollensill.platform.Row;
import org.pollensill.platform.TableService;

/** An in-memory table service and object store that can be made unavailable. */
final class InMemoryStore implements TableService, ObjectStore {

    private final TreeMap<String, Row> rows = new TreeMap<>();
    private final Map<String, byte[]> objects = new HashMap<>();
    volatile boolean unavailable;

    private static <T> CompletableFuture<T> failUnavailable() {
        return CompletableFuture.failedFuture(
                new PlatformException(PlatformException.Effect.NONE, "store is unavailable"));
    }

    @Override
    public synchronized CompletableFuture<List<Row>> read(List<String> keys, List<Prefix> prefixes) {
        if (unavailable) {
            return failUnavailable();
        }
        List<Row> found = new ArrayList<>();
        keys.forEach(key -> Optional.ofNullable(rows.get(key)).ifPresent(found::add));
        for (Prefix prefix : prefixes) {
            rows.tailMap(prefix.prefix()).values().stream()
                    .filter(row ->
                            row.key().startsWith(prefix.prefix()) && row.key().compareTo(prefix.after()) > 0)
                    .limit(prefix.limit())
                    .forEach(found::add);
        }
        return CompletableFuture.completedFuture(found);
    }

    @Override
    public synchronized CompletableFuture<CommitOutcome> commit(Commit commit) {
        if (unavailable) {
            return failUnavailable();
        }
        Map<String, Long> versions = new HashMap<>();
        commit.conditions().forEach(condition -> {
            if (version(condition.key()) != condition.version()) {
                versions.put(condition.key(), version(condition.key()));
            }
        });
        if (!versions.isEmpty()) {
            return CompletableFuture.completedFuture(new CommitOutcome.Conflicted(versions));
        }
        commit.writes().forEach(write -> {
            long version = version(write.key()) + 1;
            rows.remove(write.key());
            write.value().ifPresent(value -> rows.put(write.key(), new Row(write.key(), version, value)));
        });
        return CompletableFuture.completedFuture(new CommitOutcome.Committed(Map.of()));
    }

    private long version(String key) {
        return Optional.ofNullable(rows.get(key)).map(Row::version).orElse(0L);
    }

    @Override
    public CompletableFuture<Void> put(String name, byte[] content) {
        objects.put(name, content);
        return CompletableFuture.completedFuture(null);
    }

    @Override
    public CompletableFuture<Optional<byte[]>> get(String name) {
        return CompletableFuture.completedFuture(Optional.ofNullable(objects.get(name)));
    }

    @Override
    public CompletableFuture<Void> delete(String name) {
        objects.remove(name);
        return CompletableFuture.completedFuture(null);
    }
}
