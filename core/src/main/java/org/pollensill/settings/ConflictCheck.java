package org.pollensill.settings;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

/** Applies changes to the head and detects conflicts with changes committed after their base revision. */
final class ConflictCheck {

    private ConflictCheck() {}

    /**
     * Applies a change to the head, which may be later than the base of the change.
     *
     * @param head the current settings
     * @param sinceBase every delta after the base revision of the change
     * @param change the change
     * @param nowMs wall-clock time
     * @return the delta to commit
     * @throws SettingsConflictException if a path of the change was changed after the base revision
     * @throws InvalidSettingsException if the change breaks a rule
     */
    static ValidChange apply(SettingsSnapshot head, List<SettingsDelta> sinceBase, SettingsChange change, long nowMs)
            throws SettingsConflictException, InvalidSettingsException {
        if (change.baseRevision() > head.revision()) {
            throw new InvalidSettingsException(List.of(Problem.of(
                    "baseRevision",
                    Long.toString(change.baseRevision()),
                    "above the current revision " + head.revision())));
        }
        List<SettingsDelta> conflicting = new ArrayList<>();
        for (SettingsDelta delta : sinceBase) {
            if (delta.revision() > change.baseRevision() && overlaps(delta.change(), change)) {
                conflicting.add(delta);
            }
        }
        if (!conflicting.isEmpty()) {
            throw new SettingsConflictException(change.baseRevision(), conflicting);
        }
        SettingsTree.Applied applied = head.tree().apply(change.edits());
        SettingsDelta delta = new SettingsDelta(head.revision() + 1, change, applied.undo(), nowMs);
        return new ValidChange(new SettingsSnapshot(delta.revision(), applied.tree()), delta);
    }

    /**
     * A change that was accepted and can be committed.
     *
     * @param head the settings after the change
     * @param delta the delta
     */
    record ValidChange(SettingsSnapshot head, SettingsDelta delta) {

        /** Creates a result. */
        ValidChange {
            Objects.requireNonNull(head, "head is null");
            Objects.requireNonNull(delta, "delta is null");
        }
    }

    private static boolean overlaps(SettingsChange left, SettingsChange right) {
        for (Edit leftEdit : left.edits()) {
            for (Edit rightEdit : right.edits()) {
                if (leftEdit.path().overlaps(rightEdit.path())) {
                    return true;
                }
            }
        }
        return false;
    }
}
