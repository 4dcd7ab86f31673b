package org.pollensill.coordinator;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;

import org.pollensill.platform.Row;
import org.pollensill.platform.RowStore;

/** Reads whole tables, page by page; a page that fails is read again until it is answered. */
final class TableReader {

    /** Rows of a page, the most that the store returns. */
    private static final int PAGE_ROWS = 500;

    private static final long RETRY_DELAY_MS = 150;

    private final CoordinatorLoop loop;
    private final RowStore store;
    private final StoreHealth health;
    private final BooleanSupplier stopped;

    /**
     * Rows of a table.
     *
     * @param rows the rows in the order of their keys
     * @param version the store's version at the first page, which precedes all others
     */
    record Snapshot(List<Row> rows, long version) {

        Snapshot {
            rows = List.copyOf(Objects.requireNonNull(rows, "rows is null"));
        }
    }

    /**
     * Creates a reader.
     *
     * @param stopped whether reading has become pointless; no future completes from then on
     */
    TableReader(CoordinatorLoop loop, RowStore store, StoreHealth health, BooleanSupplier stopped) {
        this.loop = Objects.requireNonNull(loop, "loop is null");
        this.store = Objects.requireNonNull(store, "store is null");
        this.health = Objects.requireNonNull(health, "health is null");
        this.stopped = Objects.requireNonNull(stopped, "stopped is null");
    }

    /** Reads a table, or the part of one. */
    CompletableFuture<Snapshot> read(String table) {
        CompletableFuture<Snapshot> result = new CompletableFuture<>();
        readPage(table, "", Long.MAX_VALUE, new ArrayList<>(), result);
        return result;
    }

    private void readPage(
            String table, String after, long firstVersion, List<Row> rows, CompletableFuture<Snapshot> result) {
        if (stopped.getAsBoolean()) {
            return;
        }
        health.track(store.page(table, after, PAGE_ROWS)).whenComplete((page, failure) -> {
            if (failure != null) {
                loop.schedule(RETRY_DELAY_MS, () -> readPage(table, after, firstVersion, rows, result));
                return;
            }
            rows.addAll(page.rows());
            long version = Math.min(firstVersion, page.version());
            if (page.truncated() && !page.rows().isEmpty()) {
                String last = page.rows().get(page.rows().size() - 1).key();
                readPage(table, last.substring(last.indexOf('/') + 1), version, rows, result);
                return;
            }
            if (!stopped.getAsBoolean()) {
                result.complete(new Snapshot(rows, version));
            }
        });
    }
}
