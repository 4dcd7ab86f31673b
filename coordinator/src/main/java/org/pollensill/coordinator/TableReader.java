package org.pollensill.coordinator;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

import org.pollensill.error.Failures;
import org.pollensill.platform.Row;
import org.pollensill.platform.RowStore;
import org.pollensill.runtime.event.EventLog;

/** Reads whole tables page by page; a failed page is retried until it succeeds. */
final class TableReader {

    /** Maximum number of rows in a page, that of the store. */
    static final int MAX_PAGE_ROWS = 500;

    /** Minimum number of rows in a page; sixteen pages of jobs at a time pass a link of 2 Mbit/s in the timeout of a call. */
    static final int MIN_PAGE_ROWS = 10;

    private static final long RETRY_DELAY_MS = 150;

    /** Number of consecutive failures for each line in the log. */
    private static final int FAILURES_PER_LINE = 20;

    private static final EventLog LOG = EventLog.of(TableReader.class);

    private final Timer timer;
    private final RowStore store;
    private final StoreHealth health;
    private final BooleanSupplier stopped;
    /** Number of rows in the next page; halved by a failed call, since a large page may not pass in time. */
    private int pageRows = MAX_PAGE_ROWS;

    private int failures;

    /**
     * The rows of a table.
     *
     * @param rows the rows in the order of their keys
     * @param version the lowest version of the store that a page was read at
     */
    record Snapshot(List<Row> rows, long version) {

        Snapshot {
            rows = List.copyOf(Objects.requireNonNull(rows, "rows is null"));
        }
    }

    /**
     * Creates a reader.
     *
     * @param timer runs an action on the event loop after a delay
     * @param store the platform's store
     * @param health tracks the outcome of the calls
     * @param stopped whether the reader is stopped; no future completes from then on
     */
    TableReader(Timer timer, RowStore store, StoreHealth health, BooleanSupplier stopped) {
        this.timer = Objects.requireNonNull(timer, "timer is null");
        this.store = Objects.requireNonNull(store, "store is null");
        this.health = Objects.requireNonNull(health, "health is null");
        this.stopped = Objects.requireNonNull(stopped, "stopped is null");
    }

    /** Reads a table, or one partition of a table. */
    CompletableFuture<Snapshot> read(String table) {
        List<Row> rows = new ArrayList<>();
        return readPages(table, rows::addAll).thenApply(version -> new Snapshot(rows, version));
    }

    /**
     * Reads a table, or one partition of a table, which may be larger than the memory.
     *
     * @param table the table
     * @param pages receives the rows of each page, in the order of their keys
     * @return the lowest version of the store that a page was read at, once all pages are read
     */
    CompletableFuture<Long> readPages(String table, Consumer<List<Row>> pages) {
        CompletableFuture<Long> result = new CompletableFuture<>();
        readPage(table, "", Long.MAX_VALUE, pages, result);
        return result;
    }

    /** Logs the first failure of a series, and one now and then while it goes on. */
    private void logFailure(String table, Throwable failure) {
        if (failures++ % FAILURES_PER_LINE == 0) {
            LOG.log(
                    CoordinatorEvent.TABLE_READ_FAILED,
                    "table",
                    table,
                    "problem",
                    String.valueOf(Failures.unwrap(failure).getMessage()),
                    "failures",
                    failures);
        }
    }

    private void readPage(
            String table, String after, long firstVersion, Consumer<List<Row>> pages, CompletableFuture<Long> result) {
        if (stopped.getAsBoolean()) {
            return;
        }
        health.track(store.page(table, after, pageRows)).whenComplete((page, failure) -> {
            if (failure != null) {
                logFailure(table, failure);
                pageRows = Math.max(MIN_PAGE_ROWS, pageRows / 2);
                timer.schedule(RETRY_DELAY_MS, () -> readPage(table, after, firstVersion, pages, result));
                return;
            }
            failures = 0;
            pages.accept(page.rows());
            long version = Math.min(firstVersion, page.version());
            if (page.truncated() && !page.rows().isEmpty()) {
                String last = page.rows().get(page.rows().size() - 1).key();
                readPage(table, last.substring(last.indexOf('/') + 1), version, pages, result);
                return;
            }
            if (!stopped.getAsBoolean()) {
                result.complete(version);
            }
        });
    }
}
