package org.pollensill.coordinator;

import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

import org.pollensill.coordinator.peer.wire.ConfigReply;

/**
 * Reads the configuration from the member that reads it for the region, so that each version crosses the link between
 * regions once. Fails where that member does not reply, does not read the store, or has not heard of it lately.
 */
final class PeerConfigSource implements ConfigSource {

    /** Maximum time that the reader waits for a new version before it replies. */
    private static final long WAIT_MS = 600;

    /** Maximum time since the store confirmed the reader's version: its long poll and a round trip between regions. */
    static final long MAX_AGE_MS = 1_500;

    private final Peers peers;

    PeerConfigSource(Peers peers) {
        this.peers = Objects.requireNonNull(peers, "peers is null");
    }

    @Override
    public CompletableFuture<Optional<String>> next(long knownVersion) {
        return peers.queryConfiguration(knownVersion, WAIT_MS).thenApply(PeerConfigSource::text);
    }

    @Override
    public void reset() {
        // Each query names the known version, so there is no position.
    }

    private static Optional<String> text(ConfigReply reply) {
        if (!reply.getReading() || reply.getAgeMs() > MAX_AGE_MS) {
            throw new CompletionException(
                    new ConfigSourceException("the reader of the region does not read the store: reading "
                            + reply.getReading() + ", age " + reply.getAgeMs() + " ms"));
        }
        if (reply.getText().isEmpty()) {
            return Optional.empty();
        }
        try {
            return Optional.of(CompressedText.decode(reply.getText().toByteArray()));
        } catch (ConfigSourceException e) {
            throw new CompletionException(e);
        }
    }
}
