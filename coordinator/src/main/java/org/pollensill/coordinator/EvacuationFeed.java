package org.pollensill.coordinator;

import java.util.Objects;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;

import org.pollensill.adapter.EvacuationCodec;
import org.pollensill.error.Failures;
import org.pollensill.platform.RowStore;
import org.pollensill.runtime.event.EventLog;

/** Reads the zones that the operator empties, again and again. */
final class EvacuationFeed {

    /** Interval between two reads; a request is known well within the shortest bound that the settings accept. */
    static final long READ_INTERVAL_MS = 1_000;

    /** Delay before a failed read is repeated. */
    static final long RETRY_DELAY_MS = 200;

    private static final int PAGE_ROWS = 100;

    private static final EventLog LOG = EventLog.of(EvacuationFeed.class);

    /** Receives the requested evacuations. */
    @FunctionalInterface
    interface Listener {

        /**
         * Called after each read.
         *
         * @param zones the zones to empty
         * @param asOfMs time at which the read was sent
         */
        void onZones(Set<String> zones, long asOfMs);
    }

    private final LongSupplier clockMs;
    private final Timer timer;
    private final RowStore store;
    private final StoreHealth health;
    private final BooleanSupplier stopped;
    private final Listener listener;
    private boolean failing;

    EvacuationFeed(
            LongSupplier clockMs,
            Timer timer,
            RowStore store,
            StoreHealth health,
            BooleanSupplier stopped,
            Listener listener) {
        this.clockMs = Objects.requireNonNull(clockMs, "clockMs is null");
        this.timer = Objects.requireNonNull(timer, "timer is null");
        this.store = Objects.requireNonNull(store, "store is null");
        this.health = Objects.requireNonNull(health, "health is null");
        this.stopped = Objects.requireNonNull(stopped, "stopped is null");
        this.listener = Objects.requireNonNull(listener, "listener is null");
    }

    void start() {
        read();
    }

    private void read() {
        if (stopped.getAsBoolean()) {
            return;
        }
        long sentMs = clockMs.getAsLong();
        health.track(store.page(EvacuationCodec.TABLE, EvacuationCodec.ROWS_AFTER, PAGE_ROWS))
                .whenComplete((page, failure) -> {
                    // Scheduled first, so that an unexpected exception does not end the reads.
                    timer.schedule(failure == null ? READ_INTERVAL_MS : RETRY_DELAY_MS, this::read);
                    if (failure != null) {
                        logFirst(failure);
                        return;
                    }
                    failing = false;
                    listener.onZones(EvacuationCodec.zones(page.rows()), sentMs);
                });
    }

    /** Logs the first failure of a series. */
    private void logFirst(Throwable failure) {
        if (!failing) {
            failing = true;
            LOG.log(
                    CoordinatorEvent.EVACUATIONS_UNREAD,
                    "problem",
                    String.valueOf(Failures.unwrap(failure).getMessage()));
        }
    }
}
