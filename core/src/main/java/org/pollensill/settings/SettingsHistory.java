package org.pollensill.settings;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

/** Restores earlier trees by undoing deltas. */
public final class SettingsHistory {

    private SettingsHistory() {}

    /**
     * Returns the tree at an earlier revision.
     *
     * @param head the current settings
     * @param revision the earlier revision
     * @param deltas all deltas from the earlier revision to the head, possibly more
     * @return the tree, empty if a delta is missing
     * @throws InvalidSettingsException if an undo edit is not JSON
     */
    public static Optional<SettingsTree> treeAt(SettingsSnapshot head, long revision, List<SettingsDelta> deltas)
            throws InvalidSettingsException {
        Objects.requireNonNull(head, "head is null");
        Objects.requireNonNull(deltas, "deltas is null");
        SettingsTree tree = head.tree();
        long treeRevision = head.revision();
        for (int i = deltas.size() - 1; i >= 0; i--) {
            SettingsDelta delta = deltas.get(i);
            if (delta.revision() == treeRevision && treeRevision > revision) {
                tree = tree.applyCommitted(delta.undo());
                treeRevision--;
            }
        }
        return treeRevision == revision ? Optional.of(tree) : Optional.empty();
    }

    /**
     * Returns the edits that restore an earlier revision as a new change on top of the current one.
     *
     * @param head the current settings
     * @param revision the earlier revision
     * @param deltas all deltas from the earlier revision to the head, possibly more
     * @return the edits, empty if a delta is missing
     * @throws InvalidSettingsException if an undo edit is not JSON
     */
    public static Optional<List<Edit>> rollback(SettingsSnapshot head, long revision, List<SettingsDelta> deltas)
            throws InvalidSettingsException {
        return treeAt(head, revision, deltas).map(tree -> head.tree().diff(tree));
    }
}
