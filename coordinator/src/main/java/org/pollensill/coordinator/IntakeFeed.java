package org.pollensill.coordinator;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

import org.pollensill.platform.Row;
import org.pollensill.platform.RowStore;

/** Change feed of accepted jobs and their cancellations; reads the whole table again after a gap. */
final class IntakeFeed {

    private static final long LONG_POLL_MS = 1_000;
    private static final long RETRY_DELAY_MS = 150;

    private final CoordinatorLoop loop;
    private final RowStore store;
    private final StoreHealth health;
    private final Consumer<List<Row>> listener;
    private final List<String> partitions = Tables.intakePartitions();
    private final TableReader reader;
    private boolean stopped;

    IntakeFeed(CoordinatorLoop loop, RowStore store, StoreHealth health, Consumer<List<Row>> listener) {
        this.loop = loop;
        this.store = store;
        this.health = health;
        this.listener = listener;
        this.reader = new TableReader(loop::schedule, store, health, () -> stopped);
    }

    void start() {
        readAll();
    }

    void stop() {
        stopped = true;
    }

    /** Reads all partitions concurrently; the feed continues from the lowest version, so that no change is missed. */
    private void readAll() {
        List<Row> rows = new ArrayList<>();
        AtomicLong minVersion = new AtomicLong(Long.MAX_VALUE);
        AtomicInteger remaining = new AtomicInteger(partitions.size());
        for (String partition : partitions) {
            reader.read(partition).thenAccept(snapshot -> {
                rows.addAll(snapshot.rows());
                minVersion.accumulateAndGet(snapshot.version(), Math::min);
                if (remaining.decrementAndGet() == 0) {
                    listener.accept(rows);
                    pollChanges(minVersion.get());
                }
            });
        }
    }

    private void pollChanges(long version) {
        if (stopped) {
            return;
        }
        health.trackLongPoll(store.changesAfter(Tables.INTAKE, version, LONG_POLL_MS))
                .whenComplete((changes, failure) -> {
                    if (stopped) {
                        return;
                    }
                    if (failure != null) {
                        loop.schedule(RETRY_DELAY_MS, () -> pollChanges(version));
                        return;
                    }
                    if (changes.historyTruncated()) {
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
                    pollChanges(changes.version());
                });
    }
}
