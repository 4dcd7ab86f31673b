package org.pollensill.coordinator;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import com.google.protobuf.ByteString;
import org.pollensill.adapter.ConfigurationCodec;
import org.pollensill.coordinator.peer.wire.ConfigReply;
import org.pollensill.error.Failures;
import org.pollensill.json.JsonSyntaxException;
import org.pollensill.queue.QueueCatalogue;
import org.pollensill.runtime.event.EventLog;

/**
 * Watches the operator's configuration and passes it on to peers. One member of each region reads it from the store and
 * the others from that member; each reads from the store itself while that member is unusable. Versions never decrease
 * within one process.
 */
final class ConfigWatcher {

    private static final EventLog LOG = EventLog.of(ConfigWatcher.class);

    private static final long RETRY_DELAY_MS = 200;

    /** Time for which the store is read after the reader of the region was unusable. */
    static final long DIRECT_PERIOD_MS = 5_000;

    /** A peer that waits for a version newer than the one it knows. */
    private record Waiting(long knownVersion, CompletableFuture<ConfigReply> reply) {}

    private final LongSupplier clockMs;
    private final Timer timer;
    private final ConfigSource store;
    private final ConfigSource reader;
    private final BooleanSupplier followsReader;
    private final Consumer<QueueCatalogue> listener;
    private final List<Waiting> waiting = new ArrayList<>();
    private Optional<QueueCatalogue> current = Optional.empty();
    private ByteString compressedText = ByteString.EMPTY;
    private boolean readingStore = true;
    private long storeAnsweredAtMs = Long.MIN_VALUE / 2;
    private long directUntilMs = Long.MIN_VALUE / 2;
    private boolean stopped;

    /**
     * Creates a watcher.
     *
     * @param clockMs the monotonic clock
     * @param timer runs an action on the event loop after a delay
     * @param store reads from the store
     * @param reader reads from the member that reads the store for the region
     * @param followsReader whether another member reads for the region
     * @param listener receives each new configuration
     */
    ConfigWatcher(
            LongSupplier clockMs,
            Timer timer,
            ConfigSource store,
            ConfigSource reader,
            BooleanSupplier followsReader,
            Consumer<QueueCatalogue> listener) {
        this.clockMs = Objects.requireNonNull(clockMs, "clockMs is null");
        this.timer = Objects.requireNonNull(timer, "timer is null");
        this.store = Objects.requireNonNull(store, "store is null");
        this.reader = Objects.requireNonNull(reader, "reader is null");
        this.followsReader = Objects.requireNonNull(followsReader, "followsReader is null");
        this.listener = Objects.requireNonNull(listener, "listener is null");
    }

    void start() {
        poll();
    }

    void stop() {
        stopped = true;
    }

    Optional<QueueCatalogue> current() {
        return current;
    }

    private long currentVersion() {
        return current.map(QueueCatalogue::version).orElse(0L);
    }

    private void poll() {
        if (stopped) {
            return;
        }
        boolean follow = current.isPresent() && clockMs.getAsLong() >= directUntilMs && followsReader.getAsBoolean();
        if (!follow && !readingStore) {
            store.reset();
        }
        readingStore = !follow;
        ConfigSource source = follow ? reader : store;
        source.next(currentVersion()).whenComplete((text, failure) -> {
            if (failure != null) {
                onFailure(source, failure);
                return;
            }
            if (source == store) {
                storeAnsweredAtMs = clockMs.getAsLong();
            }
            timer.schedule(0, this::poll);
            text.ifPresent(this::apply);
        });
    }

    private void onFailure(ConfigSource source, Throwable failure) {
        if (source == store) {
            // Changes may be missed, so the next read is complete.
            store.reset();
            timer.schedule(RETRY_DELAY_MS, this::poll);
            return;
        }
        directUntilMs = clockMs.getAsLong() + DIRECT_PERIOD_MS;
        LOG.log(
                CoordinatorEvent.CONFIGURATION_READ_DIRECTLY,
                "problem",
                String.valueOf(Failures.unwrap(failure).getMessage()));
        poll();
    }

    private void apply(String text) {
        QueueCatalogue catalogue;
        try {
            catalogue = ConfigurationCodec.decode(text);
        } catch (JsonSyntaxException e) {
            LOG.log(CoordinatorEvent.CONFIGURATION_UNREADABLE, "problem", e.getMessage());
            return;
        }
        if (current.isPresent() && currentVersion() >= catalogue.version()) {
            return;
        }
        current = Optional.of(catalogue);
        compressedText = ByteString.copyFrom(CompressedText.encode(text));
        LOG.log(
                CoordinatorEvent.CONFIGURATION_APPLIED,
                "version",
                catalogue.version(),
                "queues",
                catalogue.queues().size(),
                "readFromStore",
                readingStore);
        listener.accept(catalogue);
        List<Waiting> informed = new ArrayList<>(waiting);
        waiting.clear();
        informed.forEach(peer -> peer.reply().complete(reply(peer.knownVersion())));
    }

    /**
     * Answers a peer that follows this process.
     *
     * @param knownVersion the version that the peer knows
     * @param waitMs how long the answer may wait for a newer version
     * @return the answer; never fails
     */
    CompletableFuture<ConfigReply> query(long knownVersion, long waitMs) {
        if (!readingStore || currentVersion() > knownVersion || waitMs <= 0) {
            return CompletableFuture.completedFuture(reply(knownVersion));
        }
        Waiting peer = new Waiting(knownVersion, new CompletableFuture<>());
        waiting.add(peer);
        timer.schedule(waitMs, () -> {
            if (waiting.remove(peer)) {
                peer.reply().complete(reply(knownVersion));
            }
        });
        return peer.reply();
    }

    private ConfigReply reply(long knownVersion) {
        long ageMs = clockMs.getAsLong() - storeAnsweredAtMs;
        ConfigReply.Builder reply = ConfigReply.newBuilder()
                .setReading(readingStore)
                .setAgeMs((int) Math.max(0, Math.min(Integer.MAX_VALUE, ageMs)));
        if (currentVersion() > knownVersion) {
            reply.setText(compressedText);
        }
        return reply.build();
    }
}
