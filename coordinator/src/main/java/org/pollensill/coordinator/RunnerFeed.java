package org.pollensill.coordinator;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

import org.pollensill.adapter.RunnerEntryCodec;
import org.pollensill.json.JsonSyntaxException;
import org.pollensill.platform.Row;
import org.pollensill.runner.RunnerEntry;
import org.pollensill.runtime.event.EventLog;

/** Reads the rows of the runners again and again. They change with every heartbeat, so polling is cheaper than a feed. */
final class RunnerFeed {

    private static final EventLog LOG = EventLog.of(RunnerFeed.class);

    /** Interval between two reads. */
    private static final long READ_INTERVAL_MS = 600;

    /** Minimum interval between two reads while the entry of a restarted runner is awaited. */
    private static final long MIN_READ_INTERVAL_MS = 200;

    private final CoordinatorLoop loop;
    private final TableReader reader;
    private final Consumer<List<RunnerEntry>> listener;
    private long readStartedMs;
    /** Cancels the next read, empty while one is in flight. */
    private Optional<Runnable> cancelNext = Optional.empty();
    /** Keys of the rows in the last read that describe no runner. */
    private Set<String> unreadableKeys = Set.of();

    RunnerFeed(CoordinatorLoop loop, TableReader reader, Consumer<List<RunnerEntry>> listener) {
        this.loop = Objects.requireNonNull(loop, "loop is null");
        this.reader = Objects.requireNonNull(reader, "reader is null");
        this.listener = Objects.requireNonNull(listener, "listener is null");
    }

    void start() {
        read();
    }

    /** Reads the rows before their next turn, unless a read is in flight or the last one is too recent. */
    void readEarly() {
        boolean due = loop.nowMs() - readStartedMs >= MIN_READ_INTERVAL_MS;
        if (due && cancelNext.isPresent()) {
            cancelNext.get().run();
            read();
        }
    }

    private void read() {
        readStartedMs = loop.nowMs();
        cancelNext = Optional.empty();
        reader.read(RunnerEntryCodec.TABLE).thenAccept(snapshot -> {
            // Scheduled first, so that an unexpected exception does not end the reads.
            cancelNext = Optional.of(loop.schedule(READ_INTERVAL_MS, this::read));
            loop.execute(() -> listener.accept(decode(snapshot.rows())));
        });
    }

    /** Decodes the rows. Other writers have access to the table; a row of theirs names no runner, and is logged once. */
    private List<RunnerEntry> decode(List<Row> rows) {
        List<RunnerEntry> entries = new ArrayList<>();
        Set<String> unreadable = new HashSet<>();
        for (Row row : rows) {
            try {
                entries.add(RunnerEntryCodec.decode(row));
            } catch (JsonSyntaxException | RuntimeException e) {
                unreadable.add(row.key());
                if (!unreadableKeys.contains(row.key())) {
                    LOG.log(CoordinatorEvent.RUNNER_ENTRY_UNREADABLE, "key", row.key(), "problem", e.getMessage());
                }
            }
        }
        unreadableKeys = unreadable;
        return entries;
    }
}
