package org.pollensill.batch;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

import org.pollensill.platform.Row;

/**
 * Durable state of a shard. The head is read first, so rows may be newer than the head; the recovery ignores them.
 *
 * @param head the head row, empty if the shard never had an owner
 * @param snapshot the snapshot that the head refers to, empty if it refers to none
 * @param rows the log rows after the snapshot
 */
public record ShardImage(Optional<Row> head, Optional<byte[]> snapshot, List<Row> rows) {

    /**
     * Creates an image.
     *
     * @throws NullPointerException if an argument is null
     */
    public ShardImage {
        Objects.requireNonNull(head, "head is null");
        Objects.requireNonNull(snapshot, "snapshot is null");
        rows = List.copyOf(Objects.requireNonNull(rows, "rows is null"));
    }
}
