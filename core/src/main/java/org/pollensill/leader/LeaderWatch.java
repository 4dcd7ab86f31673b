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
        }
        read = true;
        row = present;
        rowVersion = version;
    }

    /**
     * Notes that the leader's process no longer takes connections.
     *
     * @param incarnation the leader's process
     */
    public void onLeaderGone(String incarnation) {
        if (row.isPresent() && row.get().incarnation().equals(incarnation)) {
            gone = true;
        }
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
        boolean vacant = row.isEmpty() || row.get().released() || gone;
        long quietMs = nowMs - changedAtMs;
        return vacant ? quietMs >= delayMs : quietMs >= lapseMs + delayMs;
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

    /**
     * Returns when the row was last seen to change.
     *
     * @return monotonic time
     */
    public long changedAtMs() {
        return changedAtMs;
    }
}
