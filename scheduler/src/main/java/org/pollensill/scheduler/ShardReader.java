package org.pollensill.scheduler;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.pollensill.batch.ShardHead;
import org.pollensill.batch.ShardImage;
import org.pollensill.batch.ShardPath;
import org.pollensill.platform.ObjectStore;
import org.pollensill.platform.Prefix;
import org.pollensill.platform.Row;
import org.pollensill.platform.TableService;

/** Reads what is durable of a shard: the head first, then the snapshot and the rows behind it. */
final class ShardReader {

    private static final int ROWS_PER_READ = 100;

    private final ShardPath path;
    private final TableService tables;
    private final ObjectStore objects;

    ShardReader(ShardPath path, TableService tables, ObjectStore objects) {
        this.path = Objects.requireNonNull(path, "path is null");
        this.tables = Objects.requireNonNull(tables, "tables is null");
        this.objects = Objects.requireNonNull(objects, "objects is null");
    }

    CompletableFuture<Optional<Row>> head() {
        return tables.read(List.of(path.head()), List.of())
                .thenApply(rows -> rows.stream().findFirst());
    }

    CompletableFuture<ShardImage> image() {
        return head().thenCompose(head -> {
            if (head.isEmpty()) {
                return CompletableFuture.completedFuture(new ShardImage(head, Optional.empty(), List.of()));
            }
            ShardHead known = ShardHead.parse(head.get().value());
            CompletableFuture<Optional<byte[]>> snapshot = known.snapshotSequence() == 0
                    ? CompletableFuture.completedFuture(Optional.empty())
                    : objects.get(path.snapshot(known.snapshotSequence()));
            return snapshot.thenCompose(content -> rows(known, path.log(known.snapshotSequence()), new ArrayList<>())
                    .thenApply(rows -> new ShardImage(head, content, rows)));
        });
    }

    private CompletableFuture<List<Row>> rows(ShardHead head, String after, List<Row> gathered) {
        return tables.read(List.of(), List.of(new Prefix(path.logPrefix(), after, ROWS_PER_READ)))
                .thenCompose(rows -> {
                    gathered.addAll(rows);
                    String last =
                            rows.isEmpty() ? after : rows.get(rows.size() - 1).key();
                    boolean complete =
                            rows.size() < ROWS_PER_READ || last.compareTo(path.log(head.nextSequence())) >= 0;
                    return complete ? CompletableFuture.completedFuture(gathered) : rows(head, last, gathered);
                });
    }
}
