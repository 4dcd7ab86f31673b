package org.pollensill.batch;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import org.pollensill.platform.Commit;
import org.pollensill.platform.Condition;
import org.pollensill.platform.PlatformException;
import org.pollensill.platform.Row;
import org.pollensill.platform.Write;

/**
 * Log of a shard: group commits of records, conditional on the version of the head row. Only one commit is in flight
 * at a time. After a lost answer, the commit id in the head row shows whether the commit took effect. A commit is
 * retried only under its original id.
 */
final class ShardLog {

    /** Minimum interval between group commits; limits a shard to 4 commits per second. */
    private static final long COMMIT_INTERVAL_NS = 250_000_000L;

    private static final long INITIAL_BACKOFF_NS = 100_000_000L;
    private static final long MAX_BACKOFF_NS = 3_000_000_000L;

    /** Maximum size of a log row; only a single larger record exceeds it. */
    private static final int MAX_ROW_CHARS = 128 * 1024;

    /** A snapshot is due when the log after the last one is more than twice its size and larger than this. */
    private static final long MIN_SNAPSHOT_CHARS = 256 * 1024L;

    /** Back-off after a failed write of a snapshot, since encoding a snapshot is expensive. */
    private static final long SNAPSHOT_BACKOFF_NS = 10_000_000_000L;

    /** Number of log rows after which a snapshot is due regardless of size; bounds the reads of a recovery. */
    private static final int MAX_ROWS_SINCE_SNAPSHOT = 512;

    private enum State {
        IDLE,
        COMMITTING,
        READING_HEAD,
        COMMIT_RETRY,
        READ_RETRY,
        OWNERSHIP_LOST
    }

    private final ShardPath path;
    private final String owner;
    private final RandomGenerator random;
    private final Deque<String> pending = new ArrayDeque<>();
    private State state = State.IDLE;
    private long epoch;
    private long headVersion;
    private long nextSequence;
    private long snapshotSequence;
    private long position;
    private long committedPosition;
    private Commit commit;
    private ShardHead headOfCommit;
    private long positionOfCommit;
    private long lastCommitStartNs;
    private boolean hasStartedCommit;
    private long inFlightSinceNs;
    private long retryAtNs;
    private long backoffNs = INITIAL_BACKOFF_NS;
    private boolean headWriteDue;
    private long charsSinceSnapshot;
    private long snapshotChars;
    private Optional<Snapshot> snapshot = Optional.empty();
    private boolean snapshotStored;
    private long nextSnapshotNs;
    private boolean fenced;

    private record Snapshot(long sequence, byte[] content) {}

    /** Creates the log of a shard that is taken over with the given head. The first commit fences off former owners. */
    ShardLog(
            ShardPath path,
            String owner,
            long epoch,
            Optional<Row> head,
            int charsSinceSnapshot,
            RandomGenerator random) {
        this.path = Objects.requireNonNull(path, "path is null");
        this.owner = Objects.requireNonNull(owner, "owner is null");
        this.random = Objects.requireNonNull(random, "random is null");
        this.epoch = epoch;
        this.headVersion = head.map(Row::version).orElse(Condition.ABSENT);
        Optional<ShardHead> parsedHead = head.map(row -> ShardHead.parse(row.value()));
        this.nextSequence = parsedHead.map(ShardHead::nextSequence).orElse(1L);
        this.snapshotSequence = parsedHead.map(ShardHead::snapshotSequence).orElse(0L);
        this.charsSinceSnapshot = charsSinceSnapshot;
        this.headWriteDue = true;
        this.nextSnapshotNs = Long.MIN_VALUE / 2;
    }

    /** Appends a record; it is durable once {@link #committedPosition()} reaches the returned position. */
    long append(LogRecord logRecord) {
        pending.addLast(RecordCodec.encode(logRecord));
        return ++position;
    }

    /** Changes the epoch of an owner that keeps the shard. The next commit writes the head even without records. */
    void changeEpoch(long newEpoch) {
        epoch = newEpoch;
        headWriteDue = true;
    }

    /** Starts a commit, retries the commit in flight or retries the read of the head, whichever is due. */
    List<Effect> tick(long nowNs, Supplier<byte[]> snapshotSource) {
        if (state == State.COMMIT_RETRY && nowNs - retryAtNs >= 0) {
            state = State.COMMITTING;
            return List.of(new Effect.Write(commit));
        }
        if (state == State.READ_RETRY && nowNs - retryAtNs >= 0) {
            state = State.READING_HEAD;
            return List.of(new Effect.ReadHead());
        }
        boolean due = !pending.isEmpty() || headWriteDue;
        if (state != State.IDLE || !due || hasStartedCommit && nowNs - lastCommitStartNs < COMMIT_INTERVAL_NS) {
            return List.of();
        }
        return List.of(startCommit(nowNs, snapshotSource));
    }

    private Effect startCommit(long nowNs, Supplier<byte[]> snapshotSource) {
        List<Write> writes = new ArrayList<>();
        StringBuilder lines = new StringBuilder();
        positionOfCommit = committedPosition;
        while (!pending.isEmpty() && lines.length() + pending.peekFirst().length() < MAX_ROW_CHARS
                || lines.length() == 0 && !pending.isEmpty()) {
            lines.append(pending.pollFirst()).append('\n');
            positionOfCommit++;
        }
        long next = nextSequence;
        if (lines.length() > 0) {
            writes.add(Write.put(path.log(next), lines.toString()));
            charsSinceSnapshot += lines.length();
            next++;
        }
        long covered = snapshotSequence;
        if (snapshotStored) {
            covered = snapshot.orElseThrow().sequence();
            for (long sequence = snapshotSequence + 1; sequence <= covered; sequence++) {
                writes.add(Write.delete(path.log(sequence)));
            }
        }
        String commitId = Long.toHexString(random.nextLong()) + Long.toHexString(random.nextLong());
        headOfCommit = new ShardHead(epoch, owner, next, covered, commitId);
        writes.add(Write.put(path.head(), headOfCommit.format()));
        commit = new Commit(commitId, List.of(new Condition(path.head(), headVersion)), writes);
        boolean snapshotDue = charsSinceSnapshot > Math.max(MIN_SNAPSHOT_CHARS, 2 * snapshotChars)
                || next - snapshotSequence > MAX_ROWS_SINCE_SNAPSHOT;
        if (snapshotDue && pending.isEmpty() && snapshot.isEmpty() && nowNs - nextSnapshotNs >= 0) {
            snapshot = Optional.of(new Snapshot(next - 1, snapshotSource.get()));
        }
        headWriteDue = false;
        state = State.COMMITTING;
        lastCommitStartNs = nowNs;
        hasStartedCommit = true;
        inFlightSinceNs = nowNs;
        return new Effect.Write(commit);
    }

    /** Handles a commit that took effect. */
    List<Effect> committed(String commitId, long version) {
        if (state == State.OWNERSHIP_LOST
                || commit == null
                || !commit.commitId().equals(commitId)) {
            return List.of();
        }
        List<Effect> effects = new ArrayList<>();
        if (snapshotStored && headOfCommit.snapshotSequence() != snapshotSequence) {
            if (snapshotSequence > 0) {
                effects.add(new Effect.DeleteObject(path.snapshot(snapshotSequence)));
            }
            snapshotChars = snapshot.orElseThrow().content().length;
            charsSinceSnapshot = 0;
            snapshot = Optional.empty();
            snapshotStored = false;
        }
        headVersion = version;
        nextSequence = headOfCommit.nextSequence();
        snapshotSequence = headOfCommit.snapshotSequence();
        committedPosition = positionOfCommit;
        commit = null;
        fenced = true;
        state = State.IDLE;
        backoffNs = INITIAL_BACKOFF_NS;
        if (snapshot.isPresent() && !snapshotStored && snapshot.get().sequence() == nextSequence - 1) {
            effects.add(writeSnapshot());
        }
        return effects;
    }

    private Effect writeSnapshot() {
        return new Effect.PutObject(
                path.snapshot(snapshot.orElseThrow().sequence()),
                snapshot.orElseThrow().content());
    }

    /** Handles the result of writing a snapshot. A failed write is not retried; a later snapshot replaces it. */
    void objectWritten(String name, boolean written) {
        if (snapshot.isEmpty() || !path.snapshot(snapshot.get().sequence()).equals(name)) {
            return;
        }
        if (written) {
            snapshotStored = true;
            headWriteDue = true;
        } else {
            snapshot = Optional.empty();
            nextSnapshotNs = lastCommitStartNs + SNAPSHOT_BACKOFF_NS;
        }
    }

    /** Handles a failed condition. An earlier attempt of the same commit may have caused it, so the head is read. */
    List<Effect> conflicted(String commitId) {
        if (state != State.COMMITTING || !commit.commitId().equals(commitId)) {
            return List.of();
        }
        state = State.READING_HEAD;
        return List.of(new Effect.ReadHead());
    }

    /** Handles a failed commit. */
    List<Effect> commitFailed(String commitId, PlatformException.Effect effect, long nowNs) {
        if (state != State.COMMITTING || !commit.commitId().equals(commitId)) {
            return List.of();
        }
        if (effect == PlatformException.Effect.UNKNOWN) {
            state = State.READING_HEAD;
            return List.of(new Effect.ReadHead());
        }
        backOff(State.COMMIT_RETRY, nowNs);
        return List.of();
    }

    /** Handles the head row that is read after a commit with an unknown outcome. */
    List<Effect> headRead(Optional<Row> row, long nowNs) {
        if (state != State.READING_HEAD) {
            return List.of();
        }
        if (row.isPresent() && ShardHead.parse(row.get().value()).commitId().equals(commit.commitId())) {
            return committed(commit.commitId(), row.get().version());
        }
        if (row.map(Row::version).orElse(Condition.ABSENT) == headVersion) {
            backOff(State.COMMIT_RETRY, nowNs);
            return List.of();
        }
        state = State.OWNERSHIP_LOST;
        return List.of();
    }

    /** Handles a failed read of the head row. */
    void headReadFailed(long nowNs) {
        if (state == State.READING_HEAD) {
            backOff(State.READ_RETRY, nowNs);
        }
    }

    private void backOff(State retryState, long nowNs) {
        state = retryState;
        retryAtNs = nowNs + backoffNs / 2 + random.nextLong(backoffNs);
        backoffNs = Math.min(MAX_BACKOFF_NS, backoffNs * 2);
    }

    boolean isOwnershipLost() {
        return state == State.OWNERSHIP_LOST;
    }

    /** Returns the age of the commit in flight, 0 if there is none. */
    long commitAgeNs(long nowNs) {
        return state == State.IDLE || state == State.OWNERSHIP_LOST ? 0 : nowNs - inFlightSinceNs;
    }

    boolean isSettled() {
        return state == State.IDLE && pending.isEmpty() && !headWriteDue;
    }

    long position() {
        return position;
    }

    long committedPosition() {
        return committedPosition;
    }

    /** Returns whether the first commit took effect, so that no former owner can write any more. */
    boolean isFenced() {
        return fenced;
    }
}
