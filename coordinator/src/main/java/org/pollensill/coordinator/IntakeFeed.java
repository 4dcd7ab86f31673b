package org.pollensill.coordinator;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

import org.pollensill.platform.Row;
import org.pollensill.platform.RowStore;

/** Follows the accepted jobs and their cancellations; after a gap it reads the whole table again. */
final class IntakeFeed {

    private static final long FEED_WAIT_MS = 1_000;
    private static final long RETRY_MS = 150;

    private final Loop loop;
    private final RowStore store;
    private final StoreHealth health;
    private final Consumer<List<Row>> listener;
    private final List<String> partitions = Tables.intakePartitions();
    private final TableReader reader;
    private boolean stopped;

    IntakeFeed(Loop loop, RowStore store, StoreHealth health, Consumer<List<Row>> listener) {
        this.loop = loop;
        this.store = store;
        this.health = health;
        this.listener = listener;
        this.reader = new TableReader(loop, store, health, () -> stopped);
    }

    void start() {
        readAll();
    }

    void stop() {
        stopped = true;
    }

    /** Reads all partitions at once; the feed continues from the lowest version, which precedes all others. */
    private void readAll() {
        List<Row> rows = new ArrayList<>();
        AtomicLong version = new AtomicLong(Long.MAX_VALUE);
        AtomicInteger open = new AtomicInteger(partitions.size());
        for (String partition : partitions) {
            reader.read(partition).thenAccept(snapshot -> {
                rows.addAll(snapshot.rows());
                version.accumulateAndGet(snapshot.version(), Math::min);
                if (open.decrementAndGet() == 0) {
                    listener.accept(rows);
                    follow(version.get());
                }
            });
        }
    }

    private void follow(long version) {
        if (stopped) {
            return;
        }
        health.watchWaiting(store.changesAfter(Tables.INTAKE, version, FEED_WAIT_MS))
                .whenComplete((changes, failure) -> {
                    if (stopped) {
                        return;
                    }
                    if (failure != null) {
                        loop.after(RETRY_MS, () -> follow(version));
                        return;
                    }
                    if (changes.historyGone()) {
                        start();
                        return;
                    }
                    List<Row> rows = new ArrayList<>();
                    for (RowStore.Change change : changes.changes()) {
                        if (!change.deleted()) {
                            rows.add(change.row());
                        }
                    }
                    if (!rows.isEmpty()) {
                        listener.accept(rows);
                    }
                    follow(changes.version());
                });
    }
}
