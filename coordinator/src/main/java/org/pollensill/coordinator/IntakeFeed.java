package org.pollensill.coordinator;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
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

    private static final int MAX_CONCURRENT_READS = 4;

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

    /**
     * Reads all partitions, a few at a time so that each page passes a slow link in time. The feed continues from the
     * lowest version, so that no change is missed.
     */
    private void readAll() {
        List<Row> rows = new ArrayList<>();
        Deque<String> unread = new ArrayDeque<>(partitions);
        AtomicLong minVersion = new AtomicLong(Long.MAX_VALUE);
        AtomicInteger remaining = new AtomicInteger(partitions.size());
        for (int i = 0; i < MAX_CONCURRENT_READS; i++) {
            readNext(unread, rows, minVersion, remaining);
        }
    }

    private void readNext(Deque<String> unread, List<Row> rows, AtomicLong minVersion, AtomicInteger remaining) {
        String partition = unread.poll();
        if (partition == null) {
            return;
        }
        reader.read(partition).thenAccept(snapshot -> {
            rows.addAll(snapshot.rows());
            minVersion.accumulateAndGet(snapshot.version(), Math::min);
            if (remaining.decrementAndGet() == 0) {
                listener.accept(rows);
                pollChanges(minVersion.get());
                return;
            }
            readNext(unread, rows, minVersion, remaining);
        });
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
