package org.pollensill.settings;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.Supplier;

import org.pollensill.error.Failures;
import org.pollensill.platform.CommitOutcome;
import org.pollensill.platform.PlatformException;

/**
 * Commits changes to the store; changes that are pending at the same time share a commit. After a commit with a lost
 * answer, the head is read again before anything else is written, and changes are matched by their IDs, so that a
 * change takes effect at most once.
 */
public final class SettingsCommitter {

    /** Max changes per commit, which keeps a commit far below a megabyte. */
    private static final int MAX_BATCH_CHANGES = 64;

    /** Attempts and read-backs before the store is treated as unavailable; about 4 s with pauses of 200 ms. */
    private static final int MAX_ATTEMPTS = 20;

    private final SettingsStore store;
    private final SettingsReplica replica;
    private final Supplier<CompletableFuture<Void>> pause;
    private final Object lock = new Object();
    private final Deque<PendingChange> pending = new ArrayDeque<>();
    private boolean running;
    private long commitSequence;

    /**
     * Creates a committer.
     *
     * @param store the store
     * @param replica the settings of this process, which each commit advances
     * @param pause starts a short pause and completes when it is over
     */
    public SettingsCommitter(SettingsStore store, SettingsReplica replica, Supplier<CompletableFuture<Void>> pause) {
        this.store = Objects.requireNonNull(store, "store is null");
        this.replica = Objects.requireNonNull(replica, "replica is null");
        this.pause = Objects.requireNonNull(pause, "pause is null");
    }

    /** A submitted change whose outcome is not decided yet. */
    private record PendingChange(SettingsChange change, long nowMs, CompletableFuture<SettingsDelta> outcome) {}

    /** Changes that were checked against one version of the head, with the deltas to commit. */
    private record CheckedBatch(long headVersion, List<PendingChange> accepted, List<SettingsDelta> deltas) {}

    /**
     * Commits a change.
     *
     * @param change the change
     * @param nowMs wall-clock time
     * @return the committed delta; fails with {@link InvalidSettingsException}, {@link SettingsConflictException} or
     *     {@link SettingsUnavailableException}
     */
    public CompletableFuture<SettingsDelta> submit(SettingsChange change, long nowMs) {
        Objects.requireNonNull(change, "change is null");
        CompletableFuture<SettingsDelta> outcome = new CompletableFuture<>();
        synchronized (lock) {
            pending.add(new PendingChange(change, nowMs, outcome));
            if (running) {
                return outcome;
            }
            running = true;
        }
        commitNextBatch();
        return outcome;
    }

    private void commitNextBatch() {
        List<PendingChange> batch = new ArrayList<>();
        synchronized (lock) {
            while (batch.size() < MAX_BATCH_CHANGES && !pending.isEmpty()) {
                batch.add(pending.poll());
            }
            if (batch.isEmpty()) {
                running = false;
                return;
            }
        }
        processBatch(batch, MAX_ATTEMPTS).whenComplete((ignored, failure) -> {
            if (failure != null) {
                for (PendingChange pendingChange : batch) {
                    pendingChange.outcome().completeExceptionally(Failures.unwrap(failure));
                }
            }
            commitNextBatch();
        });
    }

    private CompletableFuture<Void> processBatch(List<PendingChange> batch, int attempts) {
        return store.read(replica.revision())
                .thenCompose(readResult -> catchUp(readResult, attempts))
                .handle((readResult, failure) -> {
                    if (failure != null) {
                        throw new CompletionException(new SettingsUnavailableException(
                                PlatformException.Effect.NONE, Failures.unwrap(failure)));
                    }
                    return readResult;
                })
                .thenCompose(readResult -> check(readResult, batch, attempts))
                .thenCompose(checked -> {
                    if (checked.accepted().isEmpty()) {
                        return CompletableFuture.completedFuture(null);
                    }
                    String commitId =
                            "settings-" + checked.deltas().get(0).change().changeId() + "-" + (commitSequence++);
                    return commit(checked, commitId, attempts, false);
                });
    }

    /** Reads until the replica is at the revision of the head that was read, on which the next commit is based. */
    private CompletableFuture<SettingsStore.ReadResult> catchUp(SettingsStore.ReadResult readResult, int attempts) {
        SettingsReplica.UpdateResult updateResult;
        try {
            updateResult = replica.apply(readResult.update());
        } catch (InvalidSettingsException e) {
            return CompletableFuture.failedFuture(e);
        }
        if (replica.revision() == readResult.update().revision()) {
            return CompletableFuture.completedFuture(readResult);
        }
        if (attempts <= 0) {
            return CompletableFuture.failedFuture(new PlatformException(
                    PlatformException.Effect.NONE,
                    "the store is at revision " + readResult.update().revision() + ", this process at "
                            + replica.revision()));
        }
        CompletableFuture<Void> wait = updateResult.advanced() ? CompletableFuture.completedFuture(null) : pause.get();
        return wait.thenCompose(paused -> store.read(replica.revision()))
                .thenCompose(reread -> catchUp(reread, attempts - 1));
    }

    private CompletableFuture<CheckedBatch> check(
            SettingsStore.ReadResult readResult, List<PendingChange> batch, int attempts) {
        long oldestBase = Long.MAX_VALUE;
        for (PendingChange pendingChange : batch) {
            oldestBase = Math.min(oldestBase, pendingChange.change().baseRevision());
        }
        return deltasAfter(oldestBase, attempts).thenApply(deltas -> check(readResult, batch, deltas));
    }

    /** Returns the deltas after a revision; a read that ends before the current revision is stale and is repeated. */
    private CompletableFuture<List<SettingsDelta>> deltasAfter(long revision, int attempts) {
        Optional<List<SettingsDelta>> retained = replica.deltasAfter(revision);
        if (retained.isPresent()) {
            return CompletableFuture.completedFuture(retained.get());
        }
        return store.deltas(revision, SettingsStore.RETAINED_REVISIONS + SettingsStore.SNAPSHOT_INTERVAL_REVISIONS)
                .handle((deltas, failure) -> {
                    if (failure != null) {
                        throw new CompletionException(new SettingsUnavailableException(
                                PlatformException.Effect.NONE, Failures.unwrap(failure)));
                    }
                    long last =
                            deltas.isEmpty() ? 0 : deltas.get(deltas.size() - 1).revision();
                    if (last >= replica.revision()) {
                        return CompletableFuture.completedFuture(deltas);
                    }
                    if (attempts <= 0) {
                        throw new CompletionException(new SettingsUnavailableException(
                                PlatformException.Effect.NONE,
                                new PlatformException(
                                        PlatformException.Effect.NONE, "the store's deltas end at revision " + last)));
                    }
                    return pause.get().thenCompose(paused -> deltasAfter(revision, attempts - 1));
                })
                .thenCompose(stage -> stage);
    }

    private CheckedBatch check(
            SettingsStore.ReadResult readResult, List<PendingChange> batch, List<SettingsDelta> sinceBase) {
        SettingsSnapshot head = replica.state().orElseThrow();
        List<SettingsDelta> laterDeltas = new ArrayList<>(sinceBase);
        List<PendingChange> accepted = new ArrayList<>();
        List<SettingsDelta> deltas = new ArrayList<>();
        for (PendingChange pendingChange : batch) {
            if (pendingChange.outcome().isDone()) {
                continue;
            }
            SettingsChange change = pendingChange.change();
            Optional<SettingsDelta> existing = replica.delta(change.changeId())
                    .or(() -> laterDeltas.stream()
                            .filter(delta -> delta.change().changeId().equals(change.changeId()))
                            .findFirst());
            if (existing.isPresent() && !existing.get().change().edits().equals(change.edits())) {
                pendingChange
                        .outcome()
                        .completeExceptionally(new InvalidSettingsException(List.of(Problem.of(
                                "changeId",
                                change.changeId(),
                                "revision " + existing.get().revision() + " has the same ID but other edits"))));
                continue;
            }
            if (existing.isPresent() && existing.get().revision() <= replica.revision()) {
                pendingChange.outcome().complete(existing.get());
                continue;
            }
            if (existing.isPresent()) {
                // The same change is in this batch or was committed just now; the next batch finds out which.
                synchronized (lock) {
                    pending.add(pendingChange);
                }
                continue;
            }
            try {
                boolean sinceBaseRetained = change.baseRevision()
                                >= readResult.update().revision()
                        || (!laterDeltas.isEmpty()
                                && laterDeltas.get(0).revision() <= change.baseRevision() + 1
                                && laterDeltas.get(laterDeltas.size() - 1).revision() >= head.revision());
                if (!sinceBaseRetained) {
                    throw new SettingsConflictException(change.baseRevision(), List.of());
                }
                ConflictCheck.ValidChange checked =
                        ConflictCheck.apply(head, laterDeltas, change, pendingChange.nowMs());
                head = checked.head();
                laterDeltas.add(checked.delta());
                deltas.add(checked.delta());
                accepted.add(pendingChange);
            } catch (SettingsConflictException | InvalidSettingsException e) {
                pendingChange.outcome().completeExceptionally(e);
            }
        }
        return new CheckedBatch(readResult.headVersion(), accepted, deltas);
    }

    private CompletableFuture<Void> commit(
            CheckedBatch checked, String commitId, int attempts, boolean maybeCommitted) {
        return store.commit(commitId, checked.headVersion(), checked.deltas())
                .handle((outcome, failure) -> {
                    if (failure != null) {
                        boolean unknown = maybeCommitted
                                || PlatformException.effectOf(failure) == PlatformException.Effect.UNKNOWN;
                        if (!unknown) {
                            throw new CompletionException(new SettingsUnavailableException(
                                    PlatformException.Effect.NONE, Failures.unwrap(failure)));
                        }
                        return readBack(checked, commitId, attempts - 1, Failures.unwrap(failure));
                    }
                    if (outcome instanceof CommitOutcome.Committed) {
                        completeOutcomes(checked);
                        return CompletableFuture.<Void>completedFuture(null);
                    }
                    return retry(checked.accepted(), attempts - 1, maybeCommitted);
                })
                .thenCompose(stage -> stage);
    }

    /** Reads the head after a lost answer to find out whether the commit took effect. */
    private CompletableFuture<Void> readBack(CheckedBatch checked, String commitId, int attempts, Throwable last) {
        if (attempts <= 0) {
            return CompletableFuture.failedFuture(
                    new SettingsUnavailableException(PlatformException.Effect.UNKNOWN, last));
        }
        return pause.get()
                .thenCompose(paused -> store.read(checked.deltas().get(0).revision() - 1))
                .handle((readResult, failure) -> {
                    if (failure != null) {
                        return readBack(checked, commitId, attempts - 1, Failures.unwrap(failure));
                    }
                    if (readResult.headVersion() == checked.headVersion()) {
                        // Not committed yet, but the write may still arrive. The repeated write has the same content
                        // and condition, so that the commit takes effect at most once.
                        return commit(checked, commitId, attempts, true);
                    }
                    return retry(checked.accepted(), attempts - 1, true);
                })
                .thenCompose(stage -> stage);
    }

    private CompletableFuture<Void> retry(List<PendingChange> accepted, int attempts, boolean maybeCommitted) {
        if (attempts <= 0) {
            PlatformException last = new PlatformException(
                    PlatformException.Effect.NONE, "the head changed during each of " + MAX_ATTEMPTS + " attempts");
            return CompletableFuture.failedFuture(new SettingsUnavailableException(
                    maybeCommitted ? PlatformException.Effect.UNKNOWN : PlatformException.Effect.NONE, last));
        }
        CompletableFuture<Void> result = processBatch(accepted, attempts);
        if (!maybeCommitted) {
            return result;
        }
        return result.exceptionally(failure -> {
            throw new CompletionException(
                    new SettingsUnavailableException(PlatformException.Effect.UNKNOWN, Failures.unwrap(failure)));
        });
    }

    private void completeOutcomes(CheckedBatch checked) {
        try {
            replica.apply(new SettingsUpdate(
                    checked.deltas().get(checked.deltas().size() - 1).revision(), Optional.empty(), checked.deltas()));
        } catch (InvalidSettingsException e) {
            throw new IllegalStateException("a checked change is not JSON", e);
        }
        for (int i = 0; i < checked.accepted().size(); i++) {
            checked.accepted().get(i).outcome().complete(checked.deltas().get(i));
        }
    }
}
