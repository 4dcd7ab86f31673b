package org.pollensill.zone;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import org.pollensill.platform.Row;

/** Composes heartbeats and their replies, and records when heartbeats were sent. */
final class HeartbeatComposer {

    private final ZoneConfig config;
    private final RunningWorkSource runningWorkSource;
    private final Map<Long, Long> sentNsBySequence = new HashMap<>();
    /** Epochs at which this process lost slices whose releases it still sends, by slice. */
    private final Map<Integer, Long> pendingReleaseEpochs = new HashMap<>();

    private long sequence;

    HeartbeatComposer(ZoneConfig config, RunningWorkSource runningWorkSource) {
        this.config = config;
        this.runningWorkSource = runningWorkSource;
    }

    /** Composes heartbeats to all other members and former owners, or to the configured peers if there is no view. */
    List<Effect> composeHeartbeats(Optional<ZoneView> view, boolean leaving, Optional<Row> relay, long nowNs) {
        sequence++;
        sentNsBySequence.put(sequence, nowNs);
        sentNsBySequence
                .values()
                .removeIf(sent -> nowNs - sent > config.timing().confirmationValidityNs());
        List<Effect> effects = new ArrayList<>();
        if (view.isEmpty()) {
            for (String peer : config.peers()) {
                effects.add(new Effect.SendHeartbeat(
                        peer, new Heartbeat(config.self(), sequence, 0, leaving, List.of()), Optional.empty()));
            }
            return effects;
        }
        Set<String> addresses = new LinkedHashSet<>();
        view.get().members().forEach(member -> addresses.add(member.address()));
        view.get().formerOwners().forEach(member -> addresses.add(member.address()));
        addresses.remove(config.self().address());
        Map<String, List<Release>> releases = releases(view.get());
        for (String address : addresses) {
            Heartbeat heartbeat = new Heartbeat(
                    config.self(), sequence, view.get().epoch(), leaving, releases.getOrDefault(address, List.of()));
            effects.add(new Effect.SendHeartbeat(address, heartbeat, relay));
        }
        return effects;
    }

    /** Composes the reply to a heartbeat. */
    HeartbeatReply composeReply(
            Heartbeat heartbeat, Optional<ZoneView> view, boolean leaving, long promiseMs, OptionalLong readAgeNs) {
        OptionalLong readAgeMs = readAgeNs.isEmpty()
                ? OptionalLong.empty()
                : OptionalLong.of(readAgeNs.getAsLong() / ZoneTiming.NS_PER_MS + 1);
        String address = heartbeat.from().address();
        List<Release> releases =
                view.isEmpty() ? List.of() : releases(view.get()).getOrDefault(address, List.of());
        return new HeartbeatReply(
                config.self(),
                heartbeat.sequence(),
                view.map(ZoneView::epoch).orElse(0L),
                leaving,
                promiseMs,
                readAgeMs,
                releases);
    }

    /** Returns when a heartbeat was sent, or empty if that is too long ago to confirm a view. */
    OptionalLong sentNs(long answeredSequence) {
        Long sent = sentNsBySequence.get(answeredSequence);
        return sent == null ? OptionalLong.empty() : OptionalLong.of(sent);
    }

    /**
     * Returns the releases of slices that this process lost, by the address of the current owner. A slice is listed
     * until the row no longer names this process and its work there has ended, so that the owner can free the reserved
     * capacity as soon as work ends instead of at the execution bound.
     */
    private Map<String, List<Release>> releases(ZoneView view) {
        Map<String, List<Release>> releases = new HashMap<>();
        for (int number = 0; number < view.slices().size(); number++) {
            Slice slice = view.slices().get(number);
            if (slice.owner().equals(config.self())) {
                pendingReleaseEpochs.remove(number);
                continue;
            }
            Optional<FormerOwner> formerOwner = slice.formerOwner(config.self());
            if (formerOwner.isPresent()) {
                pendingReleaseEpochs.put(number, formerOwner.get().lostEpoch());
            }
            Long lostEpoch = pendingReleaseEpochs.get(number);
            if (lostEpoch == null) {
                continue;
            }
            List<RunningWork> running = runningWorkSource.running(number);
            if (formerOwner.isEmpty() && running.isEmpty()) {
                pendingReleaseEpochs.remove(number);
            }
            releases.computeIfAbsent(slice.owner().address(), address -> new ArrayList<>())
                    .add(new Release(number, lostEpoch, running));
        }
        return releases;
    }
}
