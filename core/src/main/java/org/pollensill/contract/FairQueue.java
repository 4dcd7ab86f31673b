package org.pollensill.contract;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;

import org.pollensill.upstream.SlotTable;
import org.pollensill.upstream.Upstream;

/**
 * Queued requests of one owner's pool. A free slot goes first to the kind with the smallest filled fraction of its
 * guaranteed share, then, among kinds whose guarantee is filled, to the most urgent kind below its cap. Guarded by the
 * {@code admission} lock.
 */
final class FairQueue {

    private static final long NS_PER_MS = 1_000_000;

    /**
     * Time constant of the smoothed demand. With 1 s the estimate drops in every short lull of a small pool, so that a
     * kind with long requests takes the slots; with 4 s a peak at start-up keeps slots idle for too long.
     */
    private static final double DEMAND_SMOOTHING_NS = 2e9;

    /** Maximum fraction of all slots kept free for fluctuations, so that at least 90% of the slots can be busy. */
    private static final double MAX_MARGIN_FRACTION = 0.08;

    /**
     * Multiple of the demand's standard deviation kept free for fluctuations. The full standard deviation leaves more
     * than 10% of a small pool idle.
     */
    private static final double MARGIN_DEVIATIONS = 0.2;

    /** Ratio of a kind's service time to that of the other kinds from which the full headroom is kept free for them. */
    private static final double FULL_HEADROOM_RATIO = 4;

    private final List<KindQueue> kinds = new ArrayList<>();
    private final Map<String, KindQueue> byName = new HashMap<>();
    private double smoothedNs;

    KindQueue add(int index, KindContract contract) {
        KindQueue queue = new KindQueue(index, contract);
        kinds.add(queue);
        byName.put(contract.kind(), queue);
        return queue;
    }

    Optional<KindQueue> kind(String name) {
        return Optional.ofNullable(byName.get(name));
    }

    List<KindQueue> kinds() {
        return kinds;
    }

    /** Returns the queued kind that gets the next free slot, empty if no queued kind may take one. */
    Optional<KindQueue> nextKind(SlotTable slots) {
        Objects.requireNonNull(slots, "slots is null");
        KindQueue best = null;
        double bestFilledFraction = 1;
        for (KindQueue kind : kinds) {
            if (kind.queued() == 0 || !mayDispatch(kind, slots)) {
                continue;
            }
            double filledFraction = filledFraction(kind, slots);
            if (best == null || precedes(kind, filledFraction, best, bestFilledFraction)) {
                best = kind;
                bestFilledFraction = filledFraction;
            }
        }
        return Optional.ofNullable(best);
    }

    /** Returns whether a request of the kind may take a slot now, regardless of the requests queued for other kinds. */
    boolean mayDispatch(KindQueue kind, SlotTable slots) {
        if (slots.free(kind.index) == 0) {
            return false;
        }
        int used = slots.used(kind.index);
        if (used >= capSlots(kind, slots.total())) {
            return false;
        }
        return used < guaranteedSlots(kind, slots.total()) || used < slots.total() - kind.headroomSlots;
    }

    /** Updates the smoothed demand of each kind and the headroom that each kind keeps free for the others. */
    void updateDemand(SlotTable slots, long elapsedNs) {
        smoothedNs = Math.min(DEMAND_SMOOTHING_NS, smoothedNs + elapsedNs);
        double weight = smoothedNs > 0 ? elapsedNs / smoothedNs : 0;
        for (KindQueue kind : kinds) {
            int demandedSlots = slots.used(kind.index) + kind.queued();
            kind.demandSlots += weight * (demandedSlots - kind.demandSlots);
        }
        int total = slots.total();
        for (KindQueue kind : kinds) {
            kind.headroomSlots = headroomSlots(kind, total);
        }
    }

    /**
     * Returns the slots that the kind must keep free so that the other kinds need not wait: their demand within their
     * guarantees plus a margin for fluctuations, whose standard deviation is about the square root of the demand. No
     * headroom is needed for a kind that frees its slots about as fast as the others do, because the others get the
     * next free slots anyway. A kind with much longer service times would take the slots in every lull and free them
     * too late; a limit on the number of currently free slots does not prevent that.
     */
    private double headroomSlots(KindQueue kind, int total) {
        double otherDemandSlots = 0;
        double completionsPerNs = 0;
        for (KindQueue other : kinds) {
            double otherMeanNs = other.serviceTime.meanNs();
            if (other == kind || otherMeanNs <= 0) {
                continue;
            }
            double guaranteed = Math.min(other.demandSlots, guaranteedSlots(other, total));
            otherDemandSlots += guaranteed;
            completionsPerNs += guaranteed / otherMeanNs;
        }
        if (otherDemandSlots <= 0) {
            return 0;
        }
        double ratio = kind.serviceTime.meanNs() * completionsPerNs / otherDemandSlots;
        double fraction = Math.max(0, Math.min(1, (ratio - 1) / (FULL_HEADROOM_RATIO - 1)));
        return fraction
                * (otherDemandSlots
                        + Math.min(MAX_MARGIN_FRACTION * total, MARGIN_DEVIATIONS * Math.sqrt(otherDemandSlots)));
    }

    /** Updates the number of slots that the kind holds or is guaranteed, from which expected waits are computed. */
    void updateAttainableSlots(KindQueue kind, SlotTable slots) {
        int total = slots.total();
        kind.attainableSlots = Math.max(slots.used(kind.index), guaranteedSlots(kind, total));
    }

    PoolLoad load(String service, SlotTable slots) {
        List<PoolLoad.KindLoad> loads = new ArrayList<>();
        for (KindQueue kind : kinds) {
            int free = mayDispatch(kind, slots) ? slots.free(kind.index) : 0;
            long waitNs = free > 0 && kind.queued() == 0 ? 0 : kind.expectedWaitNs(kind.queued());
            long waitMs = (waitNs + NS_PER_MS - 1) / NS_PER_MS;
            loads.add(new PoolLoad.KindLoad(kind.contract.kind(), kind.queued(), slots.used(kind.index), free, waitMs));
        }
        return new PoolLoad(service, slots.total(), slots.free(), loads);
    }

    Map<String, Integer> inProgress(Upstream upstream) {
        Map<String, Integer> counts = new TreeMap<>();
        kinds.stream()
                .filter(kind -> upstream.inProgress(kind.index) > 0)
                .forEach(kind -> counts.put(kind.contract.kind(), upstream.inProgress(kind.index)));
        return counts;
    }

    static int capSlots(KindQueue kind, int total) {
        return Math.max(1, (int) (kind.contract.cap() * total));
    }

    static double guaranteedSlots(KindQueue kind, int total) {
        return kind.contract.guaranteedShare() * total;
    }

    /** Returns the filled fraction of the kind's guarantee, 1 if it is filled or the kind has none. */
    private static double filledFraction(KindQueue kind, SlotTable slots) {
        double guaranteed = guaranteedSlots(kind, slots.total());
        int used = slots.used(kind.index);
        return used < guaranteed ? used / guaranteed : 1;
    }

    private static boolean precedes(KindQueue kind, double filledFraction, KindQueue best, double bestFilledFraction) {
        if (filledFraction != bestFilledFraction) {
            return filledFraction < bestFilledFraction;
        }
        return kind.contract.urgency() < best.contract.urgency();
    }
}
