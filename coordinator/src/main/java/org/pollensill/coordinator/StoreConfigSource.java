package org.pollensill.coordinator;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

import org.pollensill.adapter.ConfigurationCodec;
import org.pollensill.platform.Row;
import org.pollensill.platform.RowStore;

/** Reads the configuration from the store: its row first, then the changes of its table. */
final class StoreConfigSource implements ConfigSource {

    /** Long-poll wait of the change feed; a stalled connection delays a change by this plus the call timeout margin. */
    private static final long LONG_POLL_MS = 1_000;

    private static final int PAGE_ROWS = 100;

    private final RowStore store;
    private final StoreHealth health;
    /** The version of the table up to which changes are known, empty before the first page. */
    private OptionalLong position = OptionalLong.empty();

    StoreConfigSource(RowStore store, StoreHealth health) {
        this.store = Objects.requireNonNull(store, "store is null");
        this.health = Objects.requireNonNull(health, "health is null");
    }

    @Override
    public CompletableFuture<Optional<String>> next(long knownVersion) {
        return position.isEmpty() ? readPage() : readChanges(position.getAsLong());
    }

    @Override
    public void reset() {
        position = OptionalLong.empty();
    }

    private CompletableFuture<Optional<String>> readPage() {
        return health.track(store.page(ConfigurationCodec.TABLE, "", PAGE_ROWS)).thenApply(page -> {
            // The version of the page is where the change feed continues without a gap.
            position = OptionalLong.of(page.version());
            return latest(page.rows());
        });
    }

    private CompletableFuture<Optional<String>> readChanges(long after) {
        return health.trackLongPoll(store.changesAfter(ConfigurationCodec.TABLE, after, LONG_POLL_MS))
                .thenApply(changes -> {
                    if (changes.historyTruncated()) {
                        reset();
                        return Optional.empty();
                    }
                    position = OptionalLong.of(changes.version());
                    return latest(changes.changes().stream()
                            .filter(change -> !change.deleted())
                            .map(RowStore.Change::row)
                            .toList());
                });
    }

    private static Optional<String> latest(List<Row> rows) {
        Optional<String> text = Optional.empty();
        for (Row row : rows) {
            if (row.key().equals(ConfigurationCodec.KEY)) {
                text = Optional.of(row.value());
            }
        }
        return text;
    }
}
