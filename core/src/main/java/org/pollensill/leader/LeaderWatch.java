package org.pollensill.leader;

import java.util.Objects;
import java.util.Optional;

import org.pollensill.platform.Condition;

/**
 * A follower's view of the leader lease. It only decides when a takeover should be attempted; safety is ensured by the
 * condition on the row's version and by the fencing token.
 */
public final class LeaderWatch {

    private final long leaseTimeoutMs;
    private Optional<LeaderRow> row = Optional.empty();
    private long rowVersion;
    private long rowChangedAtMs;
    private long rowSeenAtMs;
    private boolean rowRead;
    private boolean leaderUnreachable;
    private boolean leaderEnded;

    private LeaderWatch(long leaseTimeoutMs) {
        this.leaseTimeoutMs = leaseTimeoutMs;
    }

    /**
     * Creates a watch.
     *
     * @param leaseTimeoutMs time without a change of the row after which its leader is considered lost
     * @return the watch
     */
    public static LeaderWatch of(long leaseTimeoutMs) {
        return new LeaderWatch(leaseTimeoutMs);
    }

    /**
     * Handles a read of the row. A version lower than the last one read is ignored.
     *
     * @param storedRow the row, empty if there is none or it cannot be decoded
     * @param version the row's version, 0 if there is none
     * @param sentMs monotonic time at which the read was sent
     * @param answeredMs monotonic time at which its answer arrived
     */
    public void onRow(Optional<LeaderRow> storedRow, long version, long sentMs, long answeredMs) {
        Objects.requireNonNull(storedRow, "storedRow is null");
        if (rowRead && version < rowVersion) {
            return;
        }
        if (!rowRead || version != rowVersion) {
            boolean sameLeader = storedRow.map(LeaderRow::incarnation).equals(row.map(LeaderRow::incarnation));
            rowChangedAtMs = sentMs;
            rowSeenAtMs = answeredMs;
            leaderUnreachable = leaderUnreachable && sameLeader;
            leaderEnded = leaderEnded && sameLeader;
        }
        rowRead = true;
        row = storedRow;
        rowVersion = version;
    }

    /**
     * Records that the leader's process appears to have ended. A process other than the current leader's is ignored.
     *
     * @param incarnation the leader's process
     * @param processEnded whether the process has certainly ended; a refused connection may have a network cause
     */
    public void onLeaderUnavailable(String incarnation, boolean processEnded) {
        if (row.isPresent() && row.get().incarnation().equals(incarnation)) {
            leaderUnreachable = true;
            leaderEnded = leaderEnded || processEnded;
        }
    }

    /**
     * Returns whether the former leader certainly sends no more orders.
     *
     * @return whether there is no former leader, it has released the lease, or its process has certainly ended
     */
    public boolean formerLeaderStopped() {
        return row.isEmpty() || row.get().released() || leaderEnded;
    }

    /**
     * Returns whether a takeover should be attempted.
     *
     * @param nowMs monotonic time
     * @param delayMs delay of this candidate, which lets preferred candidates campaign first
     * @return whether to campaign
     */
    public boolean shouldCampaign(long nowMs, long delayMs) {
        if (!rowRead) {
            return false;
        }
        long unchangedMs = nowMs - rowChangedAtMs;
        return vacant() ? unchangedMs >= delayMs : unchangedMs >= leaseTimeoutMs + delayMs;
    }

    /**
     * Returns whether the lease appears to be vacant.
     *
     * @return whether the row is absent or released, or the leader's process appears to have ended
     */
    public boolean vacant() {
        return rowRead && (row.isEmpty() || row.get().released() || leaderUnreachable);
    }

    /**
     * Returns whether the store has never had a leader, so that no accepted job takes memory of one.
     *
     * @return true once a read has found no leader row
     */
    public boolean neverLed() {
        return rowRead && rowVersion == Condition.ABSENT;
    }

    /**
     * Returns the row as last read.
     *
     * @return the row, empty if there is none or it cannot be decoded
     */
    public Optional<LeaderRow> row() {
        return row;
    }

    /**
     * Returns when the row was first seen to be stored.
     *
     * @return monotonic time of the first answer with the row's version, which is no earlier than its commit
     */
    public long rowSeenAtMs() {
        return rowSeenAtMs;
    }

    /**
     * Returns the version of the row as last read.
     *
     * @return the version, 0 if there is none
     */
    public long rowVersion() {
        return rowVersion;
    }
}
