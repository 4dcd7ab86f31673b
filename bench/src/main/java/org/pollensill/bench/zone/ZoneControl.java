package org.pollensill.bench.zone;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import org.pollensill.platform.Row;
import org.pollensill.zone.Assignment;
import org.pollensill.zone.Effect;
import org.pollensill.zone.Heartbeat;
import org.pollensill.zone.HeartbeatReply;
import org.pollensill.zone.MemberId;
import org.pollensill.zone.Slice;
import org.pollensill.zone.ViewRow;
import org.pollensill.zone.ZoneConfig;
import org.pollensill.zone.ZoneMember;
import org.pollensill.zone.ZoneTiming;
import org.pollensill.zone.ZoneView;

/** Prints the cost of a member's control work and the size of the view's row at several sizes of a zone. */
public final class ZoneControl {

    private static final long MS = ZoneTiming.NS_PER_MS;
    private static final int SLICES = 64;
    private static final String KEY = "view/entry/caxias";

    private ZoneControl() {}

    /**
     * Prints the figures.
     *
     * @param arguments none
     */
    public static void main(String[] arguments) {
        for (int members : new int[] {3, 10, 30, 100}) {
            control(members);
        }
    }

    private static ZoneView view(List<MemberId> members) {
        List<Slice> slices = new ArrayList<>();
        for (MemberId owner : Assignment.assign(
                Collections.nCopies(SLICES, Optional.empty()), Collections.nCopies(SLICES, true), members)) {
            slices.add(new Slice(owner, ZoneView.FIRST_EPOCH, List.of()));
        }
        return new ZoneView(ZoneView.FIRST_EPOCH, "entry-0/0123456789abcdef/1", members, slices);
    }

    private static List<MemberId> members(int count) {
        List<MemberId> members = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            members.add(new MemberId("entry-" + i, "10.0.0." + i + ":8081", "0123456789abcdef0123456789abcdef" + i));
        }
        return members;
    }

    private static void control(int count) {
        List<MemberId> members = members(count);
        ZoneView view = view(members);
        MemberId self = members.get(0);
        ZoneConfig config = new ZoneConfig(self, KEY, SLICES, List.of(), ZoneTiming.standard());
        ZoneMember member = new ZoneMember(config, slice -> List.of(), 0);
        Optional<Row> row = Optional.of(new Row(KEY, 1, ViewRow.write(view)));
        long nowNs = 0;
        long tickNs = 0;
        long messageNs = 0;
        int seconds = 600;
        for (int second = -seconds; second < seconds; second++) {
            if (second == 0) {
                tickNs = 0;
                messageNs = 0;
            }
            for (int tick = 0; tick < 20; tick++) {
                nowNs += 50 * MS;
                long startNs = System.nanoTime();
                List<Effect> effects = member.tick(nowNs);
                tickNs += System.nanoTime() - startNs;
                startNs = System.nanoTime();
                respond(member, members, effects, row, nowNs);
                messageNs += System.nanoTime() - startNs;
            }
        }
        System.out.printf(
                "members %3d: tick %6.2f us, messages and reads %8.2f us/s, all %6.4f%% of a core, row %5d bytes%n",
                count,
                tickNs / 1e3 / seconds / 20,
                messageNs / 1e3 / seconds,
                (tickNs + messageNs) / 1e7 / seconds,
                row.get().value().length());
    }

    private static void respond(
            ZoneMember member, List<MemberId> members, List<Effect> effects, Optional<Row> row, long nowNs) {
        int receiver = 1;
        for (Effect effect : effects) {
            if (effect instanceof Effect.ReadRow read) {
                member.readSucceeded(read.readId(), row, nowNs);
            } else if (effect instanceof Effect.SendHeartbeat send) {
                MemberId from = members.get(receiver++);
                long sequence = send.heartbeat().sequence();
                member.onHeartbeatReply(
                        new HeartbeatReply(from, sequence, 1, false, 0, OptionalLong.of(100), List.of()), nowNs);
                member.onHeartbeat(new Heartbeat(from, sequence, 1, false, List.of()), nowNs);
            }
        }
    }
}
