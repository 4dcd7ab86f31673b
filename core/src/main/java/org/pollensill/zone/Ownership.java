package org.pollensill.zone;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;

/** Tracks the slices that this process owns in its view, and their unresolved former owners. */
final class Ownership {

    private static final class OwnedSlice {
        private final long sinceEpoch;
        private final long acquiredNs;
        private final Map<MemberId, FormerOwner> unresolvedOwners = new HashMap<>();
        private final Map<MemberId, Release> releases = new HashMap<>();
        private OptionalLong lastReleaseNs = OptionalLong.empty();
        private OptionalLong lastDispatchNs = OptionalLong.empty();

        private OwnedSlice(long sinceEpoch, long acquiredNs) {
            this.sinceEpoch = sinceEpoch;
            this.acquiredNs = acquiredNs;
        }
    }

    private final MemberId self;
    private final ZoneTiming timing;
    private final Map<Integer, OwnedSlice> ownedSlices = new HashMap<>();

    Ownership(MemberId self, ZoneTiming timing) {
        this.self = self;
        this.timing = timing;
    }

    /** Updates the owned slices from a later view. */
    Effect.Log adopt(ZoneView view, Set<MemberId> gone, long nowNs) {
        for (int number = 0; number < view.slices().size(); number++) {
            Slice slice = view.slices().get(number);
            if (!slice.owner().equals(self)) {
                ownedSlices.remove(number);
                continue;
            }
            OwnedSlice before = ownedSlices.get(number);
            if (before != null && before.sinceEpoch == slice.sinceEpoch()) {
                // A former owner is removed from the row only after proof that it no longer uses the slice.
                List.copyOf(before.unresolvedOwners.keySet()).stream()
                        .filter(member -> slice.formerOwner(member).isEmpty())
                        .forEach(member -> resolve(before, member, nowNs));
            } else {
                ownedSlices.put(number, acquire(slice, nowNs));
            }
        }
        ownedSlices.keySet().removeIf(number -> number >= view.slices().size());
        gone.forEach(member -> memberGone(member, nowNs));
        return new Effect.Log(
                Effect.Log.VIEW_ADOPTED,
                "adopted view " + view.epoch() + " with " + view.members().size() + " members; this process owns "
                        + ownedSlices.size() + " slices");
    }

    private OwnedSlice acquire(Slice slice, long nowNs) {
        OwnedSlice acquired = new OwnedSlice(slice.sinceEpoch(), nowNs);
        boolean previousListed = slice.sinceEpoch() == ZoneView.FIRST_EPOCH;
        for (FormerOwner formerOwner : slice.formerOwners()) {
            if (!formerOwner.member().equals(self)) {
                acquired.unresolvedOwners.put(formerOwner.member(), formerOwner);
                previousListed |= formerOwner.lostEpoch() == slice.sinceEpoch();
            }
        }
        if (!previousListed) {
            acquired.lastDispatchNs = OptionalLong.of(nowNs);
        }
        return acquired;
    }

    private static void resolve(OwnedSlice slice, MemberId member, long nowNs) {
        if (slice.unresolvedOwners.remove(member) != null) {
            slice.lastDispatchNs = OptionalLong.of(nowNs);
        }
    }

    void memberGone(MemberId member, long nowNs) {
        ownedSlices.values().forEach(slice -> resolve(slice, member, nowNs));
    }

    void releaseReceived(MemberId member, Release release, long nowNs) {
        OwnedSlice slice = ownedSlices.get(release.slice());
        if (slice == null) {
            return;
        }
        FormerOwner formerOwner = slice.unresolvedOwners.get(member);
        Release before = slice.releases.get(member);
        // A release with an older epoch belongs to an earlier loss of the slice. A repeated release for the same loss
        // replaces the previous one, as part of the listed work may have ended.
        boolean first = formerOwner != null && release.epoch() >= formerOwner.lostEpoch();
        if (first || before != null && release.epoch() == before.epoch()) {
            slice.unresolvedOwners.remove(member);
            slice.releases.put(member, release);
            slice.lastReleaseNs = OptionalLong.of(nowNs);
        }
    }

    /** Returns whether a former owner listed in the row is known to have stopped using the slice. */
    boolean isResolved(int number, MemberId member) {
        OwnedSlice slice = ownedSlices.get(number);
        return slice != null && !slice.unresolvedOwners.containsKey(member);
    }

    Share share(int number, boolean confirmed, long nowNs) {
        OwnedSlice slice = ownedSlices.get(number);
        if (slice == null) {
            return Share.NONE;
        }
        if (slice.unresolvedOwners.isEmpty()) {
            return confirmed ? Share.FULL : Share.HALF;
        }
        if (nowNs - slice.acquiredNs < timing.takeoverWaitNs()) {
            return Share.NONE;
        }
        int halves = 2;
        for (FormerOwner formerOwner : slice.unresolvedOwners.values()) {
            halves -= formerOwner.usableHalves();
        }
        return Share.ofHalves(halves);
    }

    SliceRight right(int number, boolean confirmed, long nowNs) {
        OwnedSlice slice = ownedSlices.get(number);
        if (slice == null) {
            return SliceRight.NONE;
        }
        return new SliceRight(
                share(number, confirmed, nowNs), slice.sinceEpoch, confirmed, slice.unresolvedOwners.isEmpty());
    }

    Reservation reservation(int number) {
        OwnedSlice slice = ownedSlices.get(number);
        if (slice == null) {
            return Reservation.NONE;
        }
        OptionalLong lastDispatchNs = slice.lastDispatchNs;
        if (!slice.unresolvedOwners.isEmpty()) {
            long endNs = slice.acquiredNs + timing.takeoverWaitNs();
            lastDispatchNs = OptionalLong.of(Math.max(endNs, lastDispatchNs.orElse(endNs)));
        }
        List<RunningWork> running = new ArrayList<>();
        slice.releases.values().forEach(release -> running.addAll(release.running()));
        return new Reservation(lastDispatchNs, running, slice.lastReleaseNs);
    }
}
