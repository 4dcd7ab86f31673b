package org.pollensill.claim;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.random.RandomGenerator;

import org.pollensill.platform.Commit;
import org.pollensill.platform.CommitOutcome;
import org.pollensill.platform.Condition;
import org.pollensill.platform.PlatformException;
import org.pollensill.platform.Row;

/**
 * Group commit with a rate limit: batches claim writes into commits and resolves commits of unknown outcome by reading
 * their rows back. A write of unknown outcome is never sent under another commit id before its row has been read.
 */
final class GroupCommitter {

    private static final int MAX_GROUP_ROWS = 200;
    private static final int MAX_GROUP_BYTES = 512 * 1024;
    private static final int MAX_COMMITS_IN_FLIGHT = 4;
    private static final long NS_PER_S = 1_000_000_000L;
    private static final long INITIAL_BACKOFF_NS = 50_000_000L;
    private static final long MAX_BACKOFF_NS = 2 * NS_PER_S;

    /** Result of a write. */
    enum WriteResult {
        /** The row has the written value. */
        DONE,
        /** The row does not have the expected version. */
        CONFLICT,
        /** The write had no effect because the store is unavailable. */
        NOT_WRITTEN
    }

    /** Receives the results of writes. */
    @FunctionalInterface
    interface Listener {
        void writeEnded(ClaimWrite write, WriteResult result, long version, long nowNs, List<ClaimEffect> effects);
    }

    private record Group(Commit commit, List<ClaimWrite> writes) {}

    private final String idPrefix;
    private final Listener listener;
    private final RandomGenerator random;
    private final Deque<ClaimWrite> queued = new ArrayDeque<>();
    private final Map<String, Group> inFlight = new HashMap<>();
    private final Deque<Group> readBackQueue = new ArrayDeque<>();
    private long intervalNs;
    private long nextSendNs;
    private long lastId;
    private int consecutiveFailures;

    GroupCommitter(String idPrefix, int commitsPerSecond, RandomGenerator random, Listener listener, long nowNs) {
        this.idPrefix = Objects.requireNonNull(idPrefix, "idPrefix is null");
        this.random = Objects.requireNonNull(random, "random is null");
        this.listener = Objects.requireNonNull(listener, "listener is null");
        setCommitsPerSecond(commitsPerSecond);
        nextSendNs = nowNs;
    }

    void setCommitsPerSecond(int commitsPerSecond) {
        if (commitsPerSecond < 1) {
            throw new IllegalArgumentException("commitsPerSecond is less than 1: " + commitsPerSecond);
        }
        intervalNs = NS_PER_S / commitsPerSecond;
    }

    /** Returns whether the last call to the store failed and its back-off has not yet elapsed. */
    boolean isBackingOff(long nowNs) {
        return consecutiveFailures > 0 && nextSendNs - nowNs > 0;
    }

    void add(ClaimWrite write) {
        queued.addLast(write);
    }

    /** Sends at most one read-back or commit, if the rate limit and the back-off permit. */
    void flush(long nowNs, List<ClaimEffect> effects) {
        if (nextSendNs - nowNs > 0) {
            return;
        }
        if (!readBackQueue.isEmpty()) {
            Group group = readBackQueue.poll();
            nextSendNs = nowNs + intervalNs;
            effects.add(new ClaimEffect.Read(
                    group.commit.commitId(),
                    group.writes.stream().map(ClaimWrite::rowKey).toList()));
            return;
        }
        if (queued.isEmpty() || inFlight.size() >= MAX_COMMITS_IN_FLIGHT) {
            return;
        }
        List<ClaimWrite> writes = new ArrayList<>();
        int bytes = 0;
        while (!queued.isEmpty()
                && writes.size() < MAX_GROUP_ROWS
                && (writes.isEmpty() || bytes + queued.peek().bytes() <= MAX_GROUP_BYTES)) {
            bytes += queued.peek().bytes();
            writes.add(queued.poll());
        }
        Commit commit = new Commit(
                idPrefix + "-" + ++lastId,
                writes.stream().map(ClaimWrite::toCondition).toList(),
                writes.stream().map(ClaimWrite::toWrite).toList());
        send(new Group(commit, writes), nowNs, effects);
    }

    private void send(Group group, long nowNs, List<ClaimEffect> effects) {
        nextSendNs = nowNs + intervalNs;
        inFlight.put(group.commit.commitId(), group);
        effects.add(new ClaimEffect.Write(group.commit));
    }

    void committed(String commitId, CommitOutcome outcome, long nowNs, List<ClaimEffect> effects) {
        Group group = inFlight.remove(commitId);
        if (group == null) {
            return;
        }
        consecutiveFailures = 0;
        if (outcome instanceof CommitOutcome.Committed committed) {
            for (ClaimWrite write : group.writes) {
                long version = committed.versions().getOrDefault(write.rowKey(), Condition.ABSENT);
                listener.writeEnded(write, WriteResult.DONE, version, nowNs, effects);
            }
            return;
        }
        Map<String, Long> conflicts = ((CommitOutcome.Conflicted) outcome).versions();
        boolean conflictsListed = group.writes.stream().anyMatch(write -> conflicts.containsKey(write.rowKey()));
        for (ClaimWrite write : group.writes) {
            if (!conflictsListed || conflicts.containsKey(write.rowKey())) {
                listener.writeEnded(write, WriteResult.CONFLICT, Condition.ABSENT, nowNs, effects);
            } else {
                queued.addFirst(write);
            }
        }
    }

    void commitFailed(String commitId, PlatformException.Effect effect, long nowNs, List<ClaimEffect> effects) {
        Group group = inFlight.get(commitId);
        if (group == null) {
            return;
        }
        backOff(nowNs);
        if (effect == PlatformException.Effect.UNKNOWN) {
            readBackQueue.add(group);
            return;
        }
        inFlight.remove(commitId);
        for (ClaimWrite write : group.writes) {
            if (write.isInsert()) {
                listener.writeEnded(write, WriteResult.NOT_WRITTEN, Condition.ABSENT, nowNs, effects);
            } else {
                queued.addLast(write);
            }
        }
    }

    /** Resolves the commit of a read-back; returns false where the read is not one of this committer. */
    boolean rowsRead(String readId, Map<String, Row> rows, long nowNs, List<ClaimEffect> effects) {
        Group group = inFlight.get(readId);
        if (group == null) {
            return false;
        }
        consecutiveFailures = 0;
        boolean allMayStillApply = group.writes.stream()
                .allMatch(write -> write.mayStillApply(Optional.ofNullable(rows.get(write.rowKey()))));
        if (allMayStillApply) {
            // The commit may still be in transit. Resending it under the same commit id takes effect at most once.
            send(group, nowNs, effects);
            return true;
        }
        inFlight.remove(readId);
        for (ClaimWrite write : group.writes) {
            Optional<Row> row = Optional.ofNullable(rows.get(write.rowKey()));
            if (write.isApplied(row)) {
                listener.writeEnded(
                        write, WriteResult.DONE, row.map(Row::version).orElse(Condition.ABSENT), nowNs, effects);
            } else if (!write.mayStillApply(row)) {
                listener.writeEnded(write, WriteResult.CONFLICT, Condition.ABSENT, nowNs, effects);
            } else {
                queued.addFirst(write);
            }
        }
        return true;
    }

    /** Schedules a failed read-back again; returns false where the read is not one of this committer. */
    boolean readFailed(String readId, long nowNs) {
        Group group = inFlight.get(readId);
        if (group == null) {
            return false;
        }
        backOff(nowNs);
        readBackQueue.add(group);
        return true;
    }

    void backOff(long nowNs) {
        consecutiveFailures = Math.min(consecutiveFailures + 1, 10);
        long backoffNs = Math.min(MAX_BACKOFF_NS, INITIAL_BACKOFF_NS << (consecutiveFailures - 1));
        // Jitter keeps the clients of a recovering store from retrying all at once.
        nextSendNs = nowNs + backoffNs / 2 + random.nextLong(backoffNs / 2);
    }
}
