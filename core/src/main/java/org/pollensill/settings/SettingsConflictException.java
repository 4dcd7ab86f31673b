package org.pollensill.settings;

import java.util.List;
import java.util.Objects;
import java.util.stream.Collectors;

import org.pollensill.error.PollensillException;

/** Thrown if paths of a change were changed by others after the base revision of the change. */
public final class SettingsConflictException extends PollensillException {

    private static final long serialVersionUID = 1L;

    private final transient List<SettingsDelta> later;
    private final long baseRevision;

    /**
     * Creates an exception.
     *
     * @param baseRevision the revision on which the author based the change
     * @param later later changes of the same paths; empty if the base is older than the retained revisions
     */
    public SettingsConflictException(long baseRevision, List<SettingsDelta> later) {
        super(message(baseRevision, Objects.requireNonNull(later, "later is null")));
        this.baseRevision = baseRevision;
        this.later = List.copyOf(later);
    }

    private static String message(long baseRevision, List<SettingsDelta> later) {
        if (later.isEmpty()) {
            return "base revision " + baseRevision + " is older than the revisions that are kept";
        }
        return later.stream()
                .map(delta -> "revision " + delta.revision() + " by "
                        + delta.change().author() + " (" + delta.change().reason() + ") changed "
                        + delta.change().edits().stream().map(Edit::toString).collect(Collectors.joining(", ")))
                .collect(Collectors.joining("; ", "changed since revision " + baseRevision + ": ", ""));
    }

    /**
     * Returns the later changes.
     *
     * @return the later changes of the same paths
     */
    public List<SettingsDelta> later() {
        return later;
    }

    /**
     * Returns the base revision.
     *
     * @return the revision on which the author based the change
     */
    public long baseRevision() {
        return baseRevision;
    }
}
