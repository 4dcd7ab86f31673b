package org.pollensill.runtime.settings;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import org.pollensill.runtime.peer.PeerHub;
import org.pollensill.runtime.peer.PeerIdentity;
import org.pollensill.runtime.peer.PeerLink;
import org.pollensill.runtime.peer.PeerListener;
import org.pollensill.runtime.peer.wire.Envelope;
import org.pollensill.settings.InvalidSettingsException;
import org.pollensill.settings.SettingsDelta;
import org.pollensill.settings.SettingsReplica;
import org.pollensill.settings.SettingsUpdate;

/**
 * Exchanges settings with peers. Whenever a message carries a later revision than that of its receiver, the receiver
 * requests the missing deltas, so a process catches up from any peer even if the store is unreachable.
 */
final class SettingsPeers implements PeerListener {

    /** Peers notified per second of a new revision; 32 small messages stay within 3 KB/s. */
    private static final int NOTIFIED_PEERS = 32;

    /** Peers queried per second while the revision is unchanged. */
    private static final int IDLE_QUERIED_PEERS = 2;

    /** Minimum time between two requests, so that heartbeats of many peers cause a single answer. */
    private static final long MIN_REQUEST_INTERVAL_MS = 200;

    private final PeerHub hub;
    private final PeerIdentity self;
    private final SettingsReplica replica;
    private final LongSupplier nowMs;
    private final Random random;
    private final Consumer<SettingsUpdate> updateHandler;
    private final Map<String, PeerRevision> revisions = new ConcurrentHashMap<>();
    private final AtomicLong lastRequestAtMs = new AtomicLong();
    private long announcedRevision = SettingsUpdate.UNKNOWN;

    SettingsPeers(
            PeerHub hub,
            PeerIdentity self,
            SettingsReplica replica,
            LongSupplier nowMs,
            Random random,
            Consumer<SettingsUpdate> updateHandler) {
        this.hub = Objects.requireNonNull(hub, "hub is null");
        this.self = Objects.requireNonNull(self, "self is null");
        this.replica = Objects.requireNonNull(replica, "replica is null");
        this.nowMs = Objects.requireNonNull(nowMs, "nowMs is null");
        this.random = Objects.requireNonNull(random, "random is null");
        this.updateHandler = Objects.requireNonNull(updateHandler, "updateHandler is null");
    }

    @Override
    public void connected(PeerLink link) {
        link.send(SettingsMessages.request(replica.revision()));
    }

    @Override
    public void disconnected(PeerLink link) {
        if (link.isOutgoing()) {
            revisions.remove(key(link.peer()));
        }
    }

    @Override
    public void received(PeerLink link, Envelope envelope) {
        switch (envelope.getMessageCase()) {
            case HEARTBEAT -> onPeerRevision(link, envelope.getHeartbeat().getSettingsRevision());
            case HEARTBEAT_REPLY ->
                onPeerRevision(link, envelope.getHeartbeatReply().getSettingsRevision());
            case SETTINGS_REQUEST -> {
                long peerRevision = envelope.getSettingsRequest().getAfterRevision();
                onPeerRevision(link, peerRevision);
                answer(link, peerRevision);
            }
            case SETTINGS_DELTAS -> {
                long previousRevision = replica.revision();
                try {
                    updateHandler.accept(SettingsMessages.update(envelope.getSettingsDeltas()));
                } catch (InvalidSettingsException e) {
                    SettingsAgent.LOG.log(SettingsEvent.UNREADABLE, e, new Object[] {
                        "peer", link.peer().host()
                    });
                }
                if (replica.revision() > previousRevision) {
                    // Acknowledges to the sender that this process has applied the revision.
                    link.send(SettingsMessages.request(replica.revision()));
                } else {
                    onPeerRevision(link, lastRevision(envelope));
                }
            }
            default -> {
                return;
            }
        }
    }

    private static long lastRevision(Envelope envelope) {
        int count = envelope.getSettingsDeltas().getDeltasCount();
        return count == 0
                ? 0
                : envelope.getSettingsDeltas().getDeltas(count - 1).getRevision();
    }

    private void answer(PeerLink link, long peerRevision) {
        SettingsUpdate update = replica.updateAfter(peerRevision);
        boolean hasUpdates = update.snapshot().isPresent() || !update.deltas().isEmpty();
        if (hasUpdates) {
            link.send(SettingsMessages.deltas(update));
        } else if (peerRevision == 0 && replica.revision() == 0) {
            // An empty update would not show a starting process that the tree is empty, so the snapshot is sent.
            link.send(SettingsMessages.deltas(new SettingsUpdate(0, replica.state(), List.of())));
        }
    }

    private void onPeerRevision(PeerLink link, long revision) {
        long now = nowMs.getAsLong();
        revisions.merge(
                key(link.peer()),
                new PeerRevision(link.peer(), revision, now),
                (previous, latest) ->
                        previous.peer().incarnation().equals(link.peer().incarnation())
                                        && previous.revision() > latest.revision()
                                ? new PeerRevision(link.peer(), previous.revision(), now)
                                : latest);
        if (revision <= replica.revision()) {
            return;
        }
        long previousRequestAtMs = lastRequestAtMs.get();
        if (Math.abs(now - previousRequestAtMs) >= MIN_REQUEST_INTERVAL_MS
                && lastRequestAtMs.compareAndSet(previousRequestAtMs, now)) {
            link.send(SettingsMessages.request(replica.revision()));
        }
    }

    /** Sends new deltas to all processes of the zone. */
    void push(List<SettingsDelta> deltas) {
        if (deltas.isEmpty()) {
            return;
        }
        Envelope message = SettingsMessages.deltas(
                new SettingsUpdate(deltas.get(deltas.size() - 1).revision(), java.util.Optional.empty(), deltas));
        for (PeerLink link : hub.links()) {
            if (link.peer().zone().equals(self.zone())) {
                link.send(message);
            }
        }
    }

    /** Sends the revision to some peers; a peer with a later one answers with the deltas. Called once a second. */
    void tick() {
        List<PeerLink> links = new ArrayList<>(hub.links());
        Collections.shuffle(links, random);
        int count = replica.revision() == announcedRevision ? IDLE_QUERIED_PEERS : NOTIFIED_PEERS;
        announcedRevision = replica.revision();
        links.stream().limit(count).forEach(link -> link.send(SettingsMessages.request(announcedRevision)));
    }

    List<PeerRevision> revisions() {
        return List.copyOf(revisions.values());
    }

    private static String key(PeerIdentity peer) {
        return peer.role() + "/" + peer.zone() + "/" + peer.host();
    }
}
