package org.pollensill.coordinator;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.LongConsumer;

import org.pollensill.platform.Row;
import org.pollensill.platform.RowStore;

/** Change feed of accepted jobs and their cancellations; reads the whole table again after a gap. */
final class IntakeFeed {

    private static final long LONG_POLL_MS = 1_000;
    private static final long RETRY_DELAY_MS = 150;

    /** Number of partitions read at a time; a page may have a megabyte. */
    private static final int CONCURRENT_READS = 4;

    private final CoordinatorLoop loop;
    private final RowStore store;
    private final StoreHealth health;
    private final Consumer<List<Row>> listener;
    private final LongConsumer onVersion;
    private final Runnable onLoaded;
    private final List<String> partitions = Tables.intakePartitions();
    private final TableReader reader;
    private boolean stopped;

    /**
     * Creates a feed.
     *
     * @param listener receives jobs and cancellations; the cancellation of a job comes after it
     * @param onVersion receives the version of the store up to which all changes were passed on
     * @param onLoaded runs after each read of the whole table
     */
    IntakeFeed(
            CoordinatorLoop loop,
            RowStore store,
            StoreHealth health,
            Consumer<List<Row>> listener,
            LongConsumer onVersion,
            Runnable onLoaded) {
        this.loop = loop;
        this.store = store;
        this.health = health;
        this.listener = listener;
        this.onVersion = onVersion;
        this.onLoaded = onLoaded;
        this.reader = new TableReader(loop::schedule, store, health, () -> stopped);
    }

    void start() {
        readAll();
    }

    void stop() {
        stopped = true;
    }

    /** Reads all partitions, some at a time; the feed continues from the lowest version, so that no change is missed. */
    private void readAll() {
        Deque<String> remaining = new ArrayDeque<>(partitions);
        AtomicLong minVersion = new AtomicLong(Long.MAX_VALUE);
        AtomicInteger unread = new AtomicInteger(partitions.size());
        for (int i = 0; i < CONCURRENT_READS; i++) {
            readNext(remaining, unread, minVersion);
        }
    }

    private void readNext(Deque<String> remaining, AtomicInteger unread, AtomicLong minVersion) {
        String partition = remaining.poll();
        if (partition == null) {
            return;
        }
        reader.readPages(partition, listener).thenAccept(version -> {
            minVersion.accumulateAndGet(version, Math::min);
            if (unread.decrementAndGet() == 0) {
                onVersion.accept(minVersion.get());
                onLoaded.run();
                pollChanges(minVersion.get());
                return;
            }
            readNext(remaining, unread, minVersion);
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
                    onVersion.accept(changes.version());
                    pollChanges(changes.version());
                });
    }
}
