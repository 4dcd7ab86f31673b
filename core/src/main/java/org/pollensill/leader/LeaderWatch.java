package org.pollensill.leader;

import java.util.Objects;
import java.util.Optional;

/**
 * A follower's view of the leader lease. Judges only when a takeover is worth trying; safety comes from the condition
 * on the row and from the fence.
 */
public final class LeaderWatch {

    private final long lapseMs;
    private Optional<LeaderRow> row = Optional.empty();
    private long rowVersion;
    private long changedAtMs;
    private boolean read;
    private boolean gone;
    private boolean ended;

    private LeaderWatch(long lapseMs) {
        this.lapseMs = lapseMs;
    }

    /**
     * Creates a watch.
     *
     * @param lapseMs a row that did not change for this time has lost its leader
     * @return the watch
     */
    public static LeaderWatch of(long lapseMs) {
        return new LeaderWatch(lapseMs);
    }

    /**
     * Takes a reading of the row.
     *
     * @param present the row, empty where there is none or it cannot be read
     * @param version the row's version, 0 where there is none
     * @param nowMs monotonic time at which the read was sent
     */
    public void onRow(Optional<LeaderRow> present, long version, long nowMs) {
        Objects.requireNonNull(present, "present is null");
        if (read && version < rowVersion) {
            return;
        }
        if (!read || version != rowVersion) {
            boolean sameLeader = present.map(LeaderRow::incarnation).equals(row.map(LeaderRow::incarnation));
            changedAtMs = nowMs;
            gone = gone && sameLeader;
            ended = ended && sameLeader;
        }
        read = true;
        row = present;
        rowVersion = version;
    }

    /**
     * Notes that the leader's process seems to be gone.
     *
     * @param incarnation the leader's process
     * @param proven whether it has certainly ended; a refused connection may come from the network
     */
    public void onLeaderGone(String incarnation, boolean proven) {
        if (row.isPresent() && row.get().incarnation().equals(incarnation)) {
            gone = true;
            ended = ended || proven;
        }
    }

    /**
     * Returns whether the former leader gives no orders any more.
     *
     * @return whether there is none, it has released the lease, or its process has certainly ended
     */
    public boolean formerSilent() {
        return row.isEmpty() || row.get().released() || ended;
    }

    /**
     * Returns whether a takeover should be tried.
     *
     * @param nowMs monotonic time
     * @param delayMs how long this candidate holds back so that better placed ones come first
     * @return whether to campaign
     */
    public boolean shouldCampaign(long nowMs, long delayMs) {
        if (!read) {
            return false;
        }
        long quietMs = nowMs - changedAtMs;
        return vacant() ? quietMs >= delayMs : quietMs >= lapseMs + delayMs;
    }

    /**
     * Returns whether nobody holds the lease as far as is known.
     *
     * @return whether the row is absent, released, or that of a process that has ended
     */
    public boolean vacant() {
        return read && (row.isEmpty() || row.get().released() || gone);
    }

    /**
     * Returns the row as last read.
     *
     * @return the row, empty where there is none
     */
    public Optional<LeaderRow> row() {
        return row;
    }

    /**
     * Returns the version of the row as last read.
     *
     * @return the version, 0 where there is none
     */
    public long rowVersion() {
        return rowVersion;
    }
}
