package org.pollensill.settings;

import java.util.List;
import java.util.Objects;

/**
 * A change requested by an operator.
 *
 * @param changeId idempotency key: a change that is sent twice takes effect once
 * @param author who requests the change
 * @param reason why the change is made
 * @param baseRevision the revision on which the author based the change
 * @param edits the edits, in sequence
 */
public record SettingsChange(String changeId, String author, String reason, long baseRevision, List<Edit> edits) {

    private static final int MAX_TEXT_CHARACTERS = 1_000;

    /**
     * Creates a change.
     *
     * @throws NullPointerException if an argument is null
     * @throws IllegalArgumentException if a text is empty or too long, the revision negative, or there are no edits
     */
    public SettingsChange {
        requireText(changeId, "changeId");
        requireText(author, "author");
        requireText(reason, "reason");
        edits = List.copyOf(Objects.requireNonNull(edits, "edits is null"));
        if (baseRevision < 0) {
            throw new IllegalArgumentException("baseRevision is negative: " + baseRevision);
        }
        if (edits.isEmpty()) {
            throw new IllegalArgumentException("edits is empty");
        }
    }

    private static void requireText(String text, String name) {
        Objects.requireNonNull(text, name + " is null");
        if (text.isBlank() || text.length() > MAX_TEXT_CHARACTERS) {
            throw new IllegalArgumentException(
                    name + " has " + text.length() + " characters, 1 to " + MAX_TEXT_CHARACTERS + " are needed");
        }
    }
}
