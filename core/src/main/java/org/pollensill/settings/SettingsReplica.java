package org.pollensill.settings;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Copy of the settings in one process. The revision never decreases: a snapshot is taken only if its revision is
 * higher, and a delta only if its revision is the next one. Reads take no lock.
 */
public final class SettingsReplica {

    /** Deltas retained for peers and conflict checks; 1,024 of about 1 KB take 1 MB of the 64 MB of a process. */
    static final int RETAINED_DELTAS = 1_024;

    private final Object lock = new Object();
    private final TreeMap<Long, SettingsDelta> recentDeltas = new TreeMap<>();
    private final Map<String, Long> revisionsByChangeId = new HashMap<>();
    private volatile Optional<SettingsSnapshot> state = Optional.empty();

    private SettingsReplica() {}

    /**
     * Returns a replica without settings, which has received no update yet.
     *
     * @return the replica
     */
    public static SettingsReplica empty() {
        return new SettingsReplica();
    }

    /**
     * Result of applying an update.
     *
     * @param applied deltas that were applied, in order of revision
     * @param advanced whether the revision increased
     * @param incomplete whether the sender has a later revision that this update does not reach
     */
    public record UpdateResult(List<SettingsDelta> applied, boolean advanced, boolean incomplete) {

        /**
         * Creates a result.
         *
         * @throws NullPointerException if {@code applied} is null
         */
        public UpdateResult {
            applied = List.copyOf(Objects.requireNonNull(applied, "applied is null"));
        }
    }

    /**
     * Applies the parts of an update that this replica lacks.
     *
     * @param update the update
     * @return the result
     * @throws InvalidSettingsException if a delta has a value that is not JSON; the deltas before it remain applied
     */
    public UpdateResult apply(SettingsUpdate update) throws InvalidSettingsException {
        Objects.requireNonNull(update, "update is null");
        synchronized (lock) {
            long previousRevision = revision();
            List<SettingsDelta> applied = new ArrayList<>();
            if (state.isEmpty() && update.revision() == 0) {
                state = Optional.of(new SettingsSnapshot(0, SettingsTree.empty()));
            }
            if (update.snapshot().isPresent() && update.snapshot().get().revision() > revision()) {
                state = update.snapshot();
                // Peers need deltas without a gap, and the ones between these and the snapshot are missing.
                recentDeltas.clear();
                revisionsByChangeId.clear();
            }
            for (SettingsDelta delta : update.deltas()) {
                // The delta of revision 1 applies to the empty tree, so that it needs no snapshot.
                boolean isFirstRevision = state.isEmpty() && delta.revision() == 1;
                if (!isFirstRevision && (state.isEmpty() || delta.revision() != revision() + 1)) {
                    continue;
                }
                SettingsTree tree = state.map(SettingsSnapshot::tree).orElse(SettingsTree.empty());
                state = Optional.of(new SettingsSnapshot(
                        delta.revision(), tree.applyCommitted(delta.change().edits())));
                retain(delta);
                applied.add(delta);
            }
            return new UpdateResult(applied, revision() > previousRevision, update.revision() > revision());
        }
    }

    private void retain(SettingsDelta delta) {
        recentDeltas.put(delta.revision(), delta);
        revisionsByChangeId.put(delta.change().changeId(), delta.revision());
        while (recentDeltas.size() > RETAINED_DELTAS) {
            revisionsByChangeId.remove(
                    recentDeltas.pollFirstEntry().getValue().change().changeId());
        }
    }

    /**
     * Returns the tree and its revision.
     *
     * @return the settings, empty until the first update from the store or a peer
     */
    public Optional<SettingsSnapshot> state() {
        return state;
    }

    /**
     * Returns the revision.
     *
     * @return the revision, {@link SettingsUpdate#UNKNOWN} until the first update from the store or a peer
     */
    public long revision() {
        return state.map(SettingsSnapshot::revision).orElse(SettingsUpdate.UNKNOWN);
    }

    /**
     * Returns the update that brings another process from its revision to this one.
     *
     * @param afterRevision the revision of the other process
     * @return the deltas, or a snapshot if some of them are no longer retained
     */
    public SettingsUpdate updateAfter(long afterRevision) {
        synchronized (lock) {
            if (state.isEmpty() || afterRevision >= revision()) {
                return new SettingsUpdate(revision(), Optional.empty(), List.of());
            }
            boolean allRetained =
                    !recentDeltas.isEmpty() && recentDeltas.firstKey() <= afterRevision + 1 && afterRevision >= 0;
            if (!allRetained) {
                return new SettingsUpdate(revision(), state, List.of());
            }
            return new SettingsUpdate(
                    revision(),
                    Optional.empty(),
                    new ArrayList<>(recentDeltas.tailMap(afterRevision, false).values()));
        }
    }

    /**
     * Returns the deltas after a revision, for conflict checks and the history.
     *
     * @param afterRevision the revision
     * @return the deltas, empty if some of them are no longer retained
     */
    public Optional<List<SettingsDelta>> deltasAfter(long afterRevision) {
        synchronized (lock) {
            if (afterRevision >= revision()) {
                return Optional.of(List.of());
            }
            if (recentDeltas.isEmpty() || recentDeltas.firstKey() > afterRevision + 1) {
                return Optional.empty();
            }
            return Optional.of(
                    new ArrayList<>(recentDeltas.tailMap(afterRevision, false).values()));
        }
    }

    /**
     * Finds a committed change among the recent deltas.
     *
     * @param changeId ID of the change
     * @return its delta, empty if it is not among the recent ones
     */
    public Optional<SettingsDelta> delta(String changeId) {
        Objects.requireNonNull(changeId, "changeId is null");
        synchronized (lock) {
            return Optional.ofNullable(revisionsByChangeId.get(changeId)).map(recentDeltas::get);
        }
    }
}
