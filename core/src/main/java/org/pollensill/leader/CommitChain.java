package org.pollensill.leader;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import org.pollensill.admission.LoadForecast;
import org.pollensill.admission.MemoryCredit;
import org.pollensill.json.JsonSyntaxException;
import org.pollensill.platform.Commit;
import org.pollensill.platform.CommitOutcome;
import org.pollensill.platform.Condition;
import org.pollensill.platform.PlatformException;
import org.pollensill.platform.Row;
import org.pollensill.platform.Write;

/**
 * The leader's sequence of fenced commits, one in flight at a time. Each commit is conditional on the version of the
 * leader row and rewrites the row with the next sequence number. A commit thus takes effect at most once, even if its
 * answer is lost and it is sent again.
 */
public final class CommitChain {

    /** The step that follows an answer of the store. */
    public enum Next {
        /** The commit took effect. */
        COMMITTED,
        /** The same commit must be sent again. */
        REPEAT,
        /** The leader row must be read to determine whether the commit took effect. */
        READ_ROW,
        /** The commit had no effect and cannot take effect later; a new commit may replace it. */
        WITHDRAWN,
        /** The same, and the store rejects the content of the commit: repeating it cannot help. */
        REJECTED,
        /** Another coordinator holds the leader lease. */
        DEPOSED
    }

    private final String rowKey;
    private LeaderRow row;
    private long rowVersion;
    private Optional<LoadForecast> forecast = Optional.empty();
    private Optional<MemoryCredit> credit;
    private boolean loading;
    private Commit inFlight;
    private LeaderRow pendingRow;
    private boolean mayTakeEffectLater;
    /** Sequence number of the last commit that was begun; one that was withdrawn does not pass its number on. */
    private long lastSequence;

    private CommitChain(String rowKey, LeaderRow row, long rowVersion) {
        this.rowKey = rowKey;
        this.row = row;
        this.rowVersion = rowVersion;
        this.lastSequence = row.sequence();
        this.credit = row.credit();
    }

    /**
     * Creates the chain of a coordinator that campaigns for the leader lease.
     *
     * @param rowKey key of the leader row
     * @param candidate the coordinator's row, with a fencing token above that of the stored row
     * @param currentVersion version of the stored row, 0 if there is none
     * @return the chain; its first commit takes the lease
     */
    public static CommitChain campaign(String rowKey, LeaderRow candidate, long currentVersion) {
        Objects.requireNonNull(rowKey, "rowKey is null");
        return new CommitChain(rowKey, Objects.requireNonNull(candidate, "candidate is null"), currentVersion);
    }

    /**
     * Returns whether a commit is in flight.
     *
     * @return true until the commit in flight is committed or withdrawn
     */
    public boolean busy() {
        return inFlight != null;
    }

    /**
     * Sets whether the following commits say that the leader has not loaded its state.
     *
     * @param stillLoading whether it is loading
     */
    public void setLoading(boolean stillLoading) {
        loading = stillLoading;
    }

    /**
     * Sets what the following commits store as the leader's forecast.
     *
     * @param latest the forecast, empty where there is none
     */
    public void setForecast(Optional<LoadForecast> latest) {
        forecast = Objects.requireNonNull(latest, "latest is null");
    }

    /**
     * Sets what the following commits store as the memory for further jobs.
     *
     * @param latest the credit
     */
    public void setCredit(MemoryCredit latest) {
        credit = Optional.of(latest);
    }

    /**
     * Starts a commit.
     *
     * @param waitingJobs accepted jobs by queue for which no task has started
     * @param leases bounds of the leases that runners may hold until the next commit
     * @param released whether this commit releases the leader lease
     * @param writes the writes in addition to that of the leader row
     * @return the commit to send
     * @throws IllegalStateException if a commit is in flight
     */
    public Commit begin(Map<String, Integer> waitingJobs, LeaseBounds leases, boolean released, List<Write> writes) {
        if (busy()) {
            throw new IllegalStateException("a commit is already in flight");
        }
        lastSequence++;
        pendingRow = new LeaderRow(
                row.leader(),
                row.incarnation(),
                row.peerAddress(),
                row.fencingToken(),
                lastSequence,
                released,
                waitingJobs,
                Optional.of(leases),
                loading,
                forecast,
                credit);
        List<Write> allWrites = new ArrayList<>(writes);
        allWrites.add(Write.put(rowKey, pendingRow.encode()));
        inFlight = new Commit(
                row.incarnation() + "-" + pendingRow.sequence(), List.of(new Condition(rowKey, rowVersion)), allWrites);
        mayTakeEffectLater = false;
        return inFlight;
    }

    /**
     * Returns the commit in flight, for a retry.
     *
     * @return the commit
     */
    public Commit current() {
        return Objects.requireNonNull(inFlight, "no commit is in flight");
    }

    /**
     * Handles the store's answer to the commit in flight.
     *
     * @param outcome the answer
     * @return the next step
     */
    public Next onOutcome(CommitOutcome outcome) {
        if (outcome instanceof CommitOutcome.Committed committed) {
            markCommitted(committed.versions().getOrDefault(rowKey, 0L));
            return Next.COMMITTED;
        }
        return Next.READ_ROW;
    }

    /**
     * Handles a failed call of the commit in flight.
     *
     * @param effect whether the call may have taken effect
     * @return the next step
     */
    public Next onFailure(PlatformException.Effect effect) {
        if (effect == PlatformException.Effect.UNKNOWN) {
            mayTakeEffectLater = true;
            return Next.READ_ROW;
        }
        if (mayTakeEffectLater && effect != PlatformException.Effect.REJECTED) {
            return Next.REPEAT;
        }
        inFlight = null;
        return effect == PlatformException.Effect.REJECTED ? Next.REJECTED : Next.WITHDRAWN;
    }

    /**
     * Handles the leader row that was read after a commit without a known outcome.
     *
     * @param storedRow the row, empty if there is none
     * @return the next step
     */
    public Next onRow(Optional<Row> storedRow) {
        if (storedRow.isEmpty()) {
            return rowVersion == Condition.ABSENT ? Next.REPEAT : Next.DEPOSED;
        }
        Row found = storedRow.get();
        if (found.version() == rowVersion) {
            return Next.REPEAT;
        }
        LeaderRow foundRow;
        try {
            foundRow = LeaderRow.decode(found.value());
        } catch (JsonSyntaxException e) {
            // A row that cannot be decoded was not written by this process, so another one holds the lease.
            return Next.DEPOSED;
        }
        boolean ownCommit = foundRow.incarnation().equals(pendingRow.incarnation())
                && foundRow.fencingToken() == pendingRow.fencingToken()
                && foundRow.sequence() == pendingRow.sequence();
        if (!ownCommit) {
            return Next.DEPOSED;
        }
        markCommitted(found.version());
        return Next.COMMITTED;
    }

    private void markCommitted(long version) {
        row = pendingRow;
        rowVersion = version;
        inFlight = null;
        pendingRow = null;
    }

    /**
     * Returns the leader row as written by the last successful commit.
     *
     * @return the row
     */
    public LeaderRow row() {
        return row;
    }
}
