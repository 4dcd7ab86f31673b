package org.pollensill.platform;

import java.util.List;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;

/**
 * A table service with named tables, partitions and change feeds. A key is {@code table/name} or
 * {@code table@part/name}; a commit writes rows of one partition only. Failed calls complete with a
 * {@link PlatformException}.
 */
public interface RowStore extends TableService {

    /**
     * Rows of one table at one version of the store.
     *
     * @param rows the rows in the order of their keys
     * @param truncated whether more rows follow
     * @param version the version of the store at which the rows were read
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
     * @param row the row; its value is empty if it was deleted
     * @param deleted whether the row was deleted
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
     * @param changes the changes, in the order in which they were committed
     * @param version the version to pass to the next call
     * @param historyTruncated whether the store no longer keeps the requested changes
     */
    record Changes(List<Change> changes, long version, boolean historyTruncated) {

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
     * @param table the table, or {@code table@part} for a partition of it
     * @param after exclusive lower bound of the row names, empty for none
     * @param limit max number of rows to return
     * @return the rows
     */
    CompletableFuture<Page> page(String table, String after, int limit);

    /**
     * Waits for changes of a table, in all of its partitions.
     *
     * @param table the table
     * @param version version after which changes are returned
     * @param waitMs max time to wait for a change
     * @return the changes, none if nothing changed in that time
     */
    CompletableFuture<Changes> changesAfter(String table, long version, long waitMs);
}
