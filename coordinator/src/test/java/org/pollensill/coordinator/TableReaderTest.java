package org.pollensill.coordinator;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.api.Test;
import org.pollensill.platform.Commit;
import org.pollensill.platform.CommitOutcome;
import org.pollensill.platform.PlatformException;
import org.pollensill.platform.Prefix;
import org.pollensill.platform.Row;
import org.pollensill.platform.RowStore;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class TableReaderTest {

    private static final int ROWS = 700;

    private final ManualTimer timer = new ManualTimer();
    private final SlowLinkStore store = new SlowLinkStore();
    private final TableReader reader = new TableReader(timer, store, new StoreHealth(timer::nowMs), () -> false);

    /** A store whose pages time out if they have more rows than pass the link in time. */
    private static final class SlowLinkStore implements RowStore {

        private final List<Integer> limits = new ArrayList<>();
        private int rowsInTime = TableReader.MAX_PAGE_ROWS;

        @Override
        public CompletableFuture<Page> page(String table, String after, int limit) {
            limits.add(limit);
            if (limit > rowsInTime) {
                return CompletableFuture.failedFuture(
                        new PlatformException(PlatformException.Effect.UNKNOWN, "timed out"));
            }
            int first = after.isEmpty() ? 0 : Integer.parseInt(after) + 1;
            List<Row> rows = new ArrayList<>();
            for (int i = first; i < Math.min(ROWS, first + limit); i++) {
                rows.add(new Row(table + "/" + String.format("%05d", i), 1, "{}"));
            }
            return CompletableFuture.completedFuture(new Page(rows, first + limit < ROWS, 9));
        }

        @Override
        public CompletableFuture<List<Row>> read(List<String> keys, List<Prefix> prefixes) {
            throw new UnsupportedOperationException();
        }

        @Override
        public CompletableFuture<CommitOutcome> commit(Commit commit) {
            throw new UnsupportedOperationException();
        }

        @Override
        public CompletableFuture<Changes> changesAfter(String table, long version, long waitMs) {
            throw new UnsupportedOperationException();
        }
    }

    @Test
    void shouldReadATableInPages() {
        assertEquals(ROWS, reader.read("jobs").join().rows().size());
        assertEquals(List.of(500, 500), store.limits);
    }

    // A new leader on a link of 2 Mbit/s never finished to load its jobs: a page of 1 MB takes 4 s.
    @Test
    void shouldReadSmallerPagesWhenLargeOnesDoNotPassInTime() {
        store.rowsInTime = 60;
        CompletableFuture<TableReader.Snapshot> snapshot = reader.read("jobs");
        timer.advance(10_000);
        assertTrue(snapshot.isDone());
        assertEquals(ROWS, snapshot.join().rows().size());
    }
}
