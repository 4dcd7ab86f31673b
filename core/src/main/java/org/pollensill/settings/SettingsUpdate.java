package org.pollensill.settings;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * Update from the store or a peer for a process with an older revision.
 *
 * @param revision the sender's revision, {@link #UNKNOWN} if the sender has no settings itself
 * @param snapshot full tree, present if the sender no longer has all deltas that the receiver lacks
 * @param deltas the deltas after the snapshot or after the receiver's revision, in order of revision
 */
public record SettingsUpdate(long revision, Optional<SettingsSnapshot> snapshot, List<SettingsDelta> deltas) {

    /** Revision of a process that has received no settings yet. */
    public static final long UNKNOWN = -1;

    /**
     * Creates an update.
     *
     * @throws NullPointerException if an argument is null
     */
    public SettingsUpdate {
        Objects.requireNonNull(snapshot, "snapshot is null");
        deltas = List.copyOf(Objects.requireNonNull(deltas, "deltas is null"));
    }
}
