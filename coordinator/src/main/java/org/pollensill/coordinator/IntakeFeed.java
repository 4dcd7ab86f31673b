package org.pollensill.coordinator;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

import org.pollensill.platform.Row;
import org.pollensill.platform.RowStore;

/** Follows the accepted jobs and their cancellations; after a gap it reads the whole table again. */
final class IntakeFeed {

    private static final int PAGE = 500;
    private static final long FEED_WAIT_MS = 1_000;
    private static final long RETRY_MS = 150;

    private final Loop loop;
    private final RowStore store;
    private final StoreHealth health;
    private final Consumer<List<Row>> listener;
    private final List<String> partitions = Tables.intakePartitions();
    private boolean stopped;

    IntakeFeed(Loop loop, RowStore store, StoreHealth health, Consumer<List<Row>> listener) {
        this.loop = loop;
        this.store = store;
        this.health = health;
        this.listener = listener;
    }

    void start() {
        readAll(0, "", Long.MAX_VALUE, new ArrayList<>());
    }

    void stop() {
        stopped = true;
    }

    /** Reads all partitions; the feed continues from the version of the first page, which precedes all others. */
    private void readAll(int partition, String after, long firstVersion, List<Row> rows) {
        if (stopped) {
            return;
        }
        health.watch(store.page(partitions.get(partition), after, PAGE)).whenComplete((page, failure) -> {
            if (stopped) {
                return;
            }
            if (failure != null) {
                loop.after(RETRY_MS, () -> readAll(partition, after, firstVersion, rows));
                return;
            }
            rows.addAll(page.rows());
            long version = Math.min(firstVersion, page.version());
            if (page.truncated() && !page.rows().isEmpty()) {
                String last = page.rows().get(page.rows().size() - 1).key();
                readAll(partition, last.substring(last.indexOf('/') + 1), version, rows);
                return;
            }
            if (partition + 1 < partitions.size()) {
                readAll(partition + 1, "", version, rows);
                return;
            }
            listener.accept(rows);
            follow(version);
        });
    }

    private void follow(long version) {
        if (stopped) {
            return;
        }
        health.watch(store.changesAfter(Tables.INTAKE, version, FEED_WAIT_MS)).whenComplete((changes, failure) -> {
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
