package org.pollensill.runtime.zone;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import com.google.protobuf.ByteString;
import org.pollensill.platform.Row;
import org.pollensill.runtime.peer.wire.Envelope;
import org.pollensill.runtime.peer.wire.Running;
import org.pollensill.runtime.peer.wire.ViewRelay;
import org.pollensill.zone.Heartbeat;
import org.pollensill.zone.HeartbeatReply;
import org.pollensill.zone.MemberId;
import org.pollensill.zone.Release;
import org.pollensill.zone.RunningWork;

/** Converts between the messages of the membership protocol and those of the peer protocol. */
final class ZoneMessages {

    private ZoneMessages() {}

    static Envelope heartbeat(Heartbeat heartbeat) {
        return Envelope.newBuilder()
                .setHeartbeat(org.pollensill.runtime.peer.wire.Heartbeat.newBuilder()
                        .setSequence(heartbeat.sequence())
                        .setViewEpoch(heartbeat.epoch())
                        .setLeaving(heartbeat.leaving())
                        .addAllReleases(releases(heartbeat.releases())))
                .build();
    }

    static Heartbeat heartbeat(MemberId from, org.pollensill.runtime.peer.wire.Heartbeat message) {
        return new Heartbeat(
                from,
                message.getSequence(),
                message.getViewEpoch(),
                message.getLeaving(),
                parseReleases(message.getReleasesList()));
    }

    static Envelope reply(HeartbeatReply reply) {
        return Envelope.newBuilder()
                .setHeartbeatReply(org.pollensill.runtime.peer.wire.HeartbeatReply.newBuilder()
                        .setSequence(reply.sequence())
                        .setViewEpoch(reply.epoch())
                        .setLeaving(reply.leaving())
                        .setPromiseMs(reply.promiseMs())
                        .addAllReleases(releases(reply.releases())))
                .build();
    }

    static HeartbeatReply reply(
            MemberId from, org.pollensill.runtime.peer.wire.HeartbeatReply message, OptionalLong readAgeMs) {
        return new HeartbeatReply(
                from,
                message.getSequence(),
                message.getViewEpoch(),
                message.getLeaving(),
                message.getPromiseMs(),
                readAgeMs,
                parseReleases(message.getReleasesList()));
    }

    /** Relays a row, or only the age of a read. An age of 0 means that no read confirms the view. */
    static Envelope relay(String key, Optional<Row> row, OptionalLong readAgeMs) {
        ViewRelay.Builder relay = ViewRelay.newBuilder().setKey(key).setReadAgeMs(readAgeMs.orElse(0));
        row.ifPresent(found -> relay.setVersion(found.version()).setValue(ByteString.copyFromUtf8(found.value())));
        return Envelope.newBuilder().setViewRelay(relay).build();
    }

    static Optional<Row> row(ViewRelay relay) {
        if (relay.getVersion() == 0) {
            return Optional.empty();
        }
        return Optional.of(
                new Row(relay.getKey(), relay.getVersion(), relay.getValue().toStringUtf8()));
    }

    private static List<org.pollensill.runtime.peer.wire.Release> releases(List<Release> releases) {
        List<org.pollensill.runtime.peer.wire.Release> messages = new ArrayList<>();
        for (Release release : releases) {
            org.pollensill.runtime.peer.wire.Release.Builder message =
                    org.pollensill.runtime.peer.wire.Release.newBuilder()
                            .setSlice(release.slice())
                            .setEpoch(release.epoch());
            for (RunningWork work : release.running()) {
                message.addRunning(Running.newBuilder()
                        .setUpstream(work.resource())
                        .setKind(work.kind())
                        .setCount(work.count())
                        .setOldestDispatchAgeMs(work.oldestDispatchAgeMs()));
            }
            messages.add(message.build());
        }
        return messages;
    }

    private static List<Release> parseReleases(List<org.pollensill.runtime.peer.wire.Release> messages) {
        List<Release> releases = new ArrayList<>();
        for (org.pollensill.runtime.peer.wire.Release message : messages) {
            List<RunningWork> running = new ArrayList<>();
            for (Running work : message.getRunningList()) {
                running.add(new RunningWork(
                        work.getUpstream(), work.getKind(), work.getCount(), work.getOldestDispatchAgeMs()));
            }
            releases.add(new Release(message.getSlice(), message.getEpoch(), running));
        }
        return releases;
    }
}
