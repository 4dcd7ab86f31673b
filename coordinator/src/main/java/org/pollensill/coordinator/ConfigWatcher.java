package org.pollensill.coordinator;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

import org.pollensill.adapter.ConfigurationCodec;
import org.pollensill.json.JsonSyntaxException;
import org.pollensill.platform.Row;
import org.pollensill.platform.RowStore;
import org.pollensill.queue.QueueCatalogue;
import org.pollensill.runtime.event.EventLog;

/** Watches the operator's configuration in the store. Versions never decrease within one process. */
final class ConfigWatcher {

    private static final EventLog LOG = EventLog.of(ConfigWatcher.class);

    /** Long-poll wait of the change feed; a stalled connection delays a change by this plus the call timeout margin. */
    private static final long LONG_POLL_MS = 1_000;

    private static final long RETRY_DELAY_MS = 200;

    private final CoordinatorLoop loop;
    private final RowStore store;
    private final StoreHealth health;
    private final Consumer<QueueCatalogue> listener;
    private Optional<QueueCatalogue> current = Optional.empty();
    private boolean stopped;

    ConfigWatcher(CoordinatorLoop loop, RowStore store, StoreHealth health, Consumer<QueueCatalogue> listener) {
        this.loop = loop;
        this.store = store;
        this.health = health;
        this.listener = listener;
    }

    void start() {
        readAll();
    }

    void stop() {
        stopped = true;
    }

    Optional<QueueCatalogue> current() {
        return current;
    }

    private void readAll() {
        if (stopped) {
            return;
        }
        // The version of the page is where the change feed continues without a gap.
        health.track(store.page(ConfigurationCodec.TABLE, "", 100)).whenComplete((page, failure) -> {
            if (failure != null) {
                loop.schedule(RETRY_DELAY_MS, this::readAll);
                return;
            }
            page.rows().forEach(this::apply);
            pollChanges(page.version());
        });
    }

    private void pollChanges(long version) {
        if (stopped) {
            return;
        }
        health.trackLongPoll(store.changesAfter(ConfigurationCodec.TABLE, version, LONG_POLL_MS))
                .whenComplete((changes, failure) -> {
                    if (failure != null || changes.historyTruncated()) {
                        loop.schedule(failure == null ? 0 : RETRY_DELAY_MS, this::readAll);
                        return;
                    }
                    for (RowStore.Change change : changes.changes()) {
                        if (!change.deleted()) {
                            apply(change.row());
                        }
                    }
                    pollChanges(changes.version());
                });
    }

    private void apply(Row row) {
        if (!row.key().equals(ConfigurationCodec.KEY)) {
            return;
        }
        try {
            QueueCatalogue catalogue = ConfigurationCodec.decode(row.value());
            if (current.isPresent() && current.get().version() >= catalogue.version()) {
                return;
            }
            current = Optional.of(catalogue);
            LOG.log(
                    CoordinatorEvent.CONFIGURATION_APPLIED,
                    "version",
                    catalogue.version(),
                    "queues",
                    List.copyOf(catalogue.queues()).size());
            listener.accept(catalogue);
        } catch (JsonSyntaxException e) {
            LOG.log(CoordinatorEvent.CONFIGURATION_UNREADABLE, "problem", e.getMessage());
        }
    }
}
