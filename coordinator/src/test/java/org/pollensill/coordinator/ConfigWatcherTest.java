package org.pollensill.coordinator;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollensill.coordinator.peer.wire.ConfigReply;
import org.pollensill.queue.QueueCatalogue;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class ConfigWatcherTest {

    private final ManualTimer timer = new ManualTimer();
    private final FakeSource store = new FakeSource();
    private final FakeSource reader = new FakeSource();
    private final List<Long> versions = new ArrayList<>();
    private boolean hasReader;
    private final ConfigWatcher watcher =
            new ConfigWatcher(timer::nowMs, timer, store, reader, () -> hasReader, this::onConfiguration);

    private void onConfiguration(QueueCatalogue catalogue) {
        versions.add(catalogue.version());
    }

    private static String text(long version) {
        return "{\"Version\":" + version + ",\"Routes\":[]}";
    }

    /** A source whose calls are answered by the test. */
    private final class FakeSource implements ConfigSource {

        private CompletableFuture<Optional<String>> call = new CompletableFuture<>();
        private int calls;
        private int resets;

        private void answer(Optional<String> text) {
            call.complete(text);
            timer.advance(0);
        }

        @Override
        public CompletableFuture<Optional<String>> next(long knownVersion) {
            calls++;
            call = new CompletableFuture<>();
            return call;
        }

        @Override
        public void reset() {
            resets++;
        }
    }

    @Nested
    class Sources {

        @Test
        void shouldReadTheFirstConfigurationFromTheStore() {
            hasReader = true;
            watcher.start();
            assertEquals(0, reader.calls);
            store.answer(Optional.of(text(3)));
            assertEquals(List.of(3L), versions);
            assertEquals(1, reader.calls);
        }

        @Test
        void shouldReadFromTheStoreAtOnceWhileTheReaderIsUnusable() {
            hasReader = true;
            watcher.start();
            store.answer(Optional.of(text(3)));
            reader.call.completeExceptionally(new ConfigSourceException("silent"));
            assertEquals(2, store.calls);
            assertEquals(1, store.resets);
            store.answer(Optional.of(text(4)));
            assertEquals(List.of(3L, 4L), versions);
            assertEquals(3, store.calls);
            timer.advance(ConfigWatcher.DIRECT_PERIOD_MS);
            store.answer(Optional.empty());
            assertEquals(2, reader.calls);
        }

        @Test
        void shouldNeverReturnToAnOlderVersion() {
            hasReader = true;
            watcher.start();
            store.answer(Optional.of(text(7)));
            reader.answer(Optional.of(text(6)));
            assertEquals(List.of(7L), versions);
        }

        @Test
        void shouldKeepTheVersionInForceWhenTheNextOneIsMalformed() {
            watcher.start();
            store.answer(Optional.of(text(7)));
            store.answer(Optional.of("{\"Version\":8,\"Rou"));
            assertEquals(7, watcher.current().orElseThrow().version());
            store.answer(Optional.of(text(9)));
            assertEquals(List.of(7L, 9L), versions);
        }

        @Test
        void shouldReadTheWholeTableAgainAfterAFailedCall() {
            watcher.start();
            store.call.completeExceptionally(new ConfigSourceException("down"));
            assertEquals(1, store.resets);
            timer.advance(200);
            assertEquals(2, store.calls);
        }
    }

    // The next version is read although the listener failed on this one.
    @Test
    void shouldGoOnAfterAnUnexpectedExceptionOfTheListener() {
        ConfigWatcher failing = new ConfigWatcher(timer::nowMs, timer, store, reader, () -> hasReader, catalogue -> {
            throw new IllegalStateException("unexpected");
        });
        failing.start();
        store.answer(Optional.of(text(3)));
        assertEquals(2, store.calls);
    }

    @Nested
    class Queries {

        private ConfigReply reply(long knownVersion) {
            return watcher.query(knownVersion, 0).join();
        }

        @Test
        void shouldBeAnsweredAtOnceWithANewerVersion() throws ConfigSourceException {
            watcher.start();
            store.answer(Optional.of(text(3)));
            ConfigReply reply = reply(2);
            assertTrue(reply.getReading());
            assertEquals(text(3), CompressedText.decode(reply.getText().toByteArray()));
        }

        @Test
        void shouldWaitForANewerVersion() {
            watcher.start();
            store.answer(Optional.of(text(3)));
            CompletableFuture<ConfigReply> waiting = watcher.query(3, 600);
            assertFalse(waiting.isDone());
            store.answer(Optional.of(text(4)));
            assertFalse(waiting.join().getText().isEmpty());
        }

        @Test
        void shouldEndTheWaitInTime() {
            watcher.start();
            store.answer(Optional.of(text(3)));
            CompletableFuture<ConfigReply> waiting = watcher.query(3, 600);
            timer.advance(600);
            assertTrue(waiting.join().getText().isEmpty());
            assertEquals(600, waiting.join().getAgeMs());
        }

        // Two members that follow each other would never learn of a new version.
        @Test
        void shouldSayThatThisProcessFollowsAnotherOneItself() {
            hasReader = true;
            watcher.start();
            store.answer(Optional.of(text(3)));
            assertFalse(reply(3).getReading());
        }
    }
}
