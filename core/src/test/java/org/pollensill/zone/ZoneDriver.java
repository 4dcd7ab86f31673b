package org.pollensill.zone;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import org.pollensill.platform.Commit;
import org.pollensill.platform.Row;

/** Drives one member against a row that the test sets, and records its effects. */
final class ZoneDriver {

    static final long MS = ZoneTiming.NS_PER_MS;
    static final String KEY = "view/entry/caxias";

    final List<Effect> effects = new ArrayList<>();
    final ZoneMember member;
    long nowNs = 1000 * MS;
    boolean storeUp = true;
    Optional<Row> row = Optional.empty();

    ZoneDriver(MemberId self) {
        ZoneConfig config = new ZoneConfig(self, KEY, 4, List.of("127.0.0.1:9"), ZoneTiming.standard());
        member = new ZoneMember(config, slice -> List.of(new RunningWork("u" + slice, "k", 2, 30)), nowNs);
    }

    static MemberId id(String name) {
        return new MemberId(name, "127.0.0.1:" + name, "1");
    }

    static Slice slice(MemberId owner, long sinceEpoch, FormerOwner... formerOwners) {
        return new Slice(owner, sinceEpoch, List.of(formerOwners));
    }

    /** Returns a view whose four slices are equal. */
    static ZoneView view(long epoch, Slice slice, MemberId... members) {
        return new ZoneView(epoch, "c" + epoch, Arrays.asList(members), List.of(slice, slice, slice, slice));
    }

    static Row row(ZoneView view) {
        return new Row(KEY, view.epoch(), ViewRow.write(view));
    }

    ZoneDriver with(ZoneView view) {
        row = Optional.of(row(view));
        return this;
    }

    /** Advances the clock in ticks, answers reads while the store is up, and replies on behalf of the given members. */
    ZoneDriver run(long durationMs, MemberId... answering) {
        long endNs = nowNs + durationMs * MS;
        while (nowNs < endNs) {
            nowNs += 50 * MS;
            for (Effect effect : record(member.tick(nowNs))) {
                if (effect instanceof Effect.ReadRow read) {
                    if (storeUp) {
                        record(member.readSucceeded(read.readId(), row, nowNs));
                    } else {
                        member.readFailed(read.readId());
                    }
                } else if (effect instanceof Effect.SendHeartbeat send) {
                    for (MemberId other : answering) {
                        if (other.address().equals(send.address())) {
                            answer(other, send.heartbeat(), 0);
                        }
                    }
                }
            }
        }
        return this;
    }

    void answer(MemberId from, Heartbeat heartbeat, long promiseMs) {
        member.onHeartbeatReply(
                new HeartbeatReply(
                        from,
                        heartbeat.sequence(),
                        heartbeat.epoch(),
                        false,
                        promiseMs,
                        OptionalLong.empty(),
                        List.of()),
                nowNs);
    }

    /** Replies to the latest heartbeat with a promise of a member. */
    void promise(MemberId from) {
        Heartbeat last = all(Effect.SendHeartbeat.class)
                .get(all(Effect.SendHeartbeat.class).size() - 1)
                .heartbeat();
        answer(from, last, 2000);
    }

    HeartbeatReply receive(Heartbeat heartbeat) {
        List<Effect> returned = record(member.onHeartbeat(heartbeat, nowNs));
        return ((Effect.SendReply) returned.get(returned.size() - 1)).reply();
    }

    Heartbeat heartbeat(MemberId from, Release... releases) {
        long epoch = member.view().map(ZoneView::epoch).orElse(0L);
        return new Heartbeat(from, 1, epoch, false, List.of(releases));
    }

    List<Effect> record(List<Effect> performed) {
        effects.addAll(performed);
        return performed;
    }

    <T extends Effect> List<T> all(Class<T> type) {
        return effects.stream().filter(type::isInstance).map(type::cast).toList();
    }

    List<Commit> commits() {
        return all(Effect.CommitView.class).stream()
                .map(Effect.CommitView::commit)
                .toList();
    }

    ZoneView proposed() throws ViewRowException {
        List<Commit> commits = commits();
        return ViewRow.read(
                commits.get(commits.size() - 1).writes().get(0).value().orElseThrow());
    }

    Share share() {
        return member.share(0, nowNs);
    }
}
