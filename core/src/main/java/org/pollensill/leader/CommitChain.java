package org.pollensill.leader;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import org.pollensill.json.JsonSyntaxException;
import org.pollensill.platform.Commit;
import org.pollensill.platform.CommitOutcome;
import org.pollensill.platform.Condition;
import org.pollensill.platform.PlatformException;
import org.pollensill.platform.Row;
import org.pollensill.platform.Write;

/**
 * The leader's commits, one in flight at a time. Each one is conditional on the leader row and rewrites it with the
 * next sequence number, so a commit takes effect once although its answer may be lost and it may be repeated.
 */
public final class CommitChain {

    /** What follows an answer of the store. */
    public enum Next {
        /** The commit took effect. */
        COMMITTED,
        /** The same commit must be sent again. */
        REPEAT,
        /** The leader row must be read to learn whether the commit took effect. */
        READ_ROW,
        /** Nothing was done and nothing can come later; a new commit may take the place of this one. */
        WITHDRAWN,
        /** Another coordinator holds the row. */
        DEPOSED
    }

    private final String rowKey;
    private LeaderRow row;
    private long rowVersion;
    private Commit inFlight;
    private LeaderRow inFlightRow;
    private boolean mayArriveLater;

    private CommitChain(String rowKey, LeaderRow row, long rowVersion) {
        this.rowKey = rowKey;
        this.row = row;
        this.rowVersion = rowVersion;
    }

    /**
     * Creates the chain of a coordinator that wants to lead.
     *
     * @param rowKey key of the leader row
     * @param candidate the coordinator's row, with the fence above that of the present row
     * @param presentVersion version of the present row, 0 where there is none
     * @return the chain; its first commit takes the lease
     */
    public static CommitChain campaign(String rowKey, LeaderRow candidate, long presentVersion) {
        Objects.requireNonNull(rowKey, "rowKey is null");
        return new CommitChain(rowKey, Objects.requireNonNull(candidate, "candidate is null"), presentVersion);
    }

    /**
     * Returns whether a commit is in flight.
     *
     * @return whether the next one must wait
     */
    public boolean busy() {
        return inFlight != null;
    }

    /**
     * Begins a commit.
     *
     * @param waitingJobs accepted jobs by queue for which no task has started
     * @param released whether the leader gives up its lease with this commit
     * @param writes what is written
     * @return the commit to send
     * @throws IllegalStateException if a commit is in flight
     */
    public Commit begin(Map<String, Integer> waitingJobs, boolean released, List<Write> writes) {
        if (busy()) {
            throw new IllegalStateException("a commit is in flight");
        }
        inFlightRow = new LeaderRow(
                row.leader(),
                row.incarnation(),
                row.peerAddress(),
                row.fence(),
                row.sequence() + 1,
                released,
                waitingJobs);
        List<Write> all = new ArrayList<>(writes);
        all.add(Write.put(rowKey, inFlightRow.encode()));
        inFlight = new Commit(
                row.incarnation() + "-" + inFlightRow.sequence(), List.of(new Condition(rowKey, rowVersion)), all);
        mayArriveLater = false;
        return inFlight;
    }

    /**
     * Returns the commit in flight, to be sent again.
     *
     * @return the commit
     */
    public Commit current() {
        return Objects.requireNonNull(inFlight, "no commit is in flight");
    }

    /**
     * Takes the store's answer.
     *
     * @param outcome the answer
     * @return what follows
     */
    public Next onOutcome(CommitOutcome outcome) {
        if (outcome instanceof CommitOutcome.Committed committed) {
            accept(committed.versions().getOrDefault(rowKey, 0L));
            return Next.COMMITTED;
        }
        return Next.READ_ROW;
    }

    /**
     * Takes the failure of the call.
     *
     * @param effect what is known about the call's effect
     * @return what follows
     */
    public Next onFailure(PlatformException.Effect effect) {
        if (effect == PlatformException.Effect.UNKNOWN) {
            mayArriveLater = true;
            return Next.READ_ROW;
        }
        if (mayArriveLater) {
            return Next.REPEAT;
        }
        inFlight = null;
        return Next.WITHDRAWN;
    }

    /**
     * Takes the leader row as the store has it now.
     *
     * @param present the row, empty where there is none
     * @return what follows
     */
    public Next onRow(Optional<Row> present) {
        if (present.isEmpty()) {
            return rowVersion == Condition.ABSENT ? Next.REPEAT : Next.DEPOSED;
        }
        Row found = present.get();
        if (found.version() == rowVersion) {
            return Next.REPEAT;
        }
        LeaderRow decoded;
        try {
            decoded = LeaderRow.decode(found.value());
        } catch (JsonSyntaxException e) {
            // A row that this process did not write is somebody else's claim, whatever it holds.
            return Next.DEPOSED;
        }
        boolean mine = decoded.incarnation().equals(inFlightRow.incarnation())
                && decoded.fence() == inFlightRow.fence()
                && decoded.sequence() == inFlightRow.sequence();
        if (!mine) {
            return Next.DEPOSED;
        }
        accept(found.version());
        return Next.COMMITTED;
    }

    private void accept(long version) {
        row = inFlightRow;
        rowVersion = version;
        inFlight = null;
        inFlightRow = null;
    }

    /**
     * Returns the leader's row after its last commit.
     *
     * @return the row
     */
    public LeaderRow row() {
        return row;
    }
}
