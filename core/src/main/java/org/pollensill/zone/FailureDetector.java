package org.pollensill.zone;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Tracks the state of the other processes: when each was last heard from, whether it is leaving, and whether it is
 * gone, that is, proven to have terminated.
 */
final class FailureDetector {

    /** How long the state of a silent process that the view does not reference is retained. */
    private static final long RETENTION_NS = 60_000 * ZoneTiming.NS_PER_MS;

    private static final class Entry {
        private final long firstSeenNs;
        private long lastHeardNs;
        private long admissionRequestedNs = Long.MIN_VALUE;
        private long epoch;
        private boolean leaving;
        private boolean gone;

        private Entry(long nowNs) {
            firstSeenNs = nowNs;
            lastHeardNs = nowNs;
        }
    }

    private final MemberId self;
    private final ZoneTiming timing;
    private final Map<MemberId, Entry> entries = new HashMap<>();

    FailureDetector(MemberId self, ZoneTiming timing) {
        this.self = self;
        this.timing = timing;
    }

    /** Registers a process. Another process at the address of this one must be gone, because the address is in use. */
    void register(MemberId member, long nowNs) {
        Entry entry = entries.computeIfAbsent(member, id -> new Entry(nowNs));
        if (member.address().equals(self.address()) && !member.equals(self)) {
            entry.gone = true;
        }
    }

    void messageReceived(MemberId member, boolean leaving, long nowNs) {
        register(member, nowNs);
        Entry entry = entries.get(member);
        entry.lastHeardNs = nowNs;
        // Leaving is irreversible; a delayed message from before it must not reset the flag.
        entry.leaving |= leaving;
    }

    /** Records the epoch of the view that a process has adopted. */
    void observeEpoch(MemberId member, long epoch) {
        Entry entry = entries.get(member);
        entry.epoch = Math.max(entry.epoch, epoch);
    }

    /** Returns whether a former owner is gone or has adopted the view in which it lost the slice. */
    boolean hasStopped(FormerOwner formerOwner) {
        Entry entry = entries.get(formerOwner.member());
        return formerOwner.member().equals(self)
                || entry != null && (entry.gone || entry.epoch >= formerOwner.lostEpoch());
    }

    /** Records that a process requests admission. */
    void admissionRequested(MemberId member, long nowNs) {
        register(member, nowNs);
        entries.get(member).admissionRequestedNs = nowNs;
    }

    /** Restarts the suspicion time-outs of all peers after a stall of this process. */
    void resetSilence(long nowNs) {
        entries.values().forEach(entry -> entry.lastHeardNs = nowNs);
    }

    boolean isSuspected(MemberId member, long nowNs) {
        Entry entry = entries.get(member);
        return !member.equals(self) && entry != null && nowNs - entry.lastHeardNs >= timing.suspicionTimeoutNs();
    }

    boolean isGone(MemberId member) {
        Entry entry = entries.get(member);
        return entry != null && entry.gone;
    }

    boolean isLeaving(MemberId member) {
        Entry entry = entries.get(member);
        return entry != null && entry.leaving;
    }

    /** Returns the live processes that requested admission within the last three heartbeat intervals. */
    List<MemberId> newcomers(ZoneView view, long nowNs) {
        List<MemberId> newcomers = new ArrayList<>();
        entries.forEach((member, entry) -> {
            boolean recentRequest = entry.admissionRequestedNs != Long.MIN_VALUE
                    && nowNs - entry.admissionRequestedNs <= 3 * timing.heartbeatIntervalNs();
            if (recentRequest && !entry.gone && !entry.leaving && !member.equals(self) && !view.contains(member)) {
                newcomers.add(member);
            }
        });
        newcomers.sort((a, b) -> a.name().compareTo(b.name()));
        return newcomers;
    }

    /**
     * Marks processes as gone after a connection attempt to their address: those first seen before the attempt began,
     * except the one that answered.
     *
     * @return the processes that are newly marked
     */
    List<MemberId> markGoneAt(String address, String answering, long attemptNs) {
        List<MemberId> gone = new ArrayList<>();
        entries.forEach((member, entry) -> {
            boolean proven = member.address().equals(address)
                    && !member.incarnation().equals(answering)
                    && entry.firstSeenNs < attemptNs
                    && !member.equals(self);
            if (proven && !entry.gone) {
                entry.gone = true;
                gone.add(member);
            }
        });
        return gone;
    }

    List<MemberId> markGoneByName(String name) {
        List<MemberId> gone = new ArrayList<>();
        entries.forEach((member, entry) -> {
            if (member.name().equals(name) && !entry.gone && !member.equals(self)) {
                entry.gone = true;
                gone.add(member);
            }
        });
        return gone;
    }

    Set<MemberId> gonePeers() {
        Set<MemberId> gone = new HashSet<>();
        entries.forEach((member, entry) -> {
            if (entry.gone) {
                gone.add(member);
            }
        });
        return gone;
    }

    void removeExpired(Set<MemberId> referenced, long nowNs) {
        entries.entrySet()
                .removeIf(entry ->
                        !referenced.contains(entry.getKey()) && nowNs - entry.getValue().lastHeardNs > RETENTION_NS);
    }
}
