package org.pollensill.platform;

import java.util.List;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;

/**
 * A table service whose rows lie in tables and can be followed. A key is {@code table/name} or
 * {@code table@part/name}; a commit writes rows of one part only. Failed calls end with a {@link PlatformException}.
 */
public interface RowStore extends TableService {

    /**
     * Rows of one table at one moment.
     *
     * @param rows the rows in the order of their keys
     * @param truncated whether more rows follow
     * @param version the store's version at that moment
     */
    record Page(List<Row> rows, boolean truncated, long version) {

        /**
         * Creates a page.
         *
         * @throws NullPointerException if {@code rows} is null
         */
        public Page {
            rows = List.copyOf(Objects.requireNonNull(rows, "rows is null"));
        }
    }

    /**
     * A change of a row.
     *
     * @param row the row; its value is empty text where it was deleted
     * @param deleted whether it was deleted
     */
    record Change(Row row, boolean deleted) {

        /**
         * Creates a change.
         *
         * @throws NullPointerException if {@code row} is null
         */
        public Change {
            Objects.requireNonNull(row, "row is null");
        }
    }

    /**
     * Changes of a table.
     *
     * @param changes the changes in their order
     * @param version the version to continue from
     * @param historyGone whether the store no longer has the changes that were asked for
     */
    record Changes(List<Change> changes, long version, boolean historyGone) {

        /**
         * Creates the changes.
         *
         * @throws NullPointerException if {@code changes} is null
         */
        public Changes {
            changes = List.copyOf(Objects.requireNonNull(changes, "changes is null"));
        }
    }

    /**
     * Reads rows of a table.
     *
     * @param table the table, with a part where its rows lie in one
     * @param after only names after this one; empty for all
     * @param limit the most rows to return
     * @return the rows
     */
    CompletableFuture<Page> page(String table, String after, int limit);

    /**
     * Waits for changes of a table, in all of its parts.
     *
     * @param table the table
     * @param version only changes after this version
     * @param waitMs longest time to wait for a change
     * @return the changes, none where nothing changed in time
     */
    CompletableFuture<Changes> changesAfter(String table, long version, long waitMs);
}
