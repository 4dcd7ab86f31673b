package org.pollensill.zone;

import org.pollensill.platform.Commit;
import org.pollensill.platform.Row;

/**
 * A commit of a view whose outcome is not yet known.
 *
 * @param commit the commit, which is repeated unchanged after a lost answer
 * @param view the view that it writes
 * @param row the row that it writes, with the version of its condition
 * @param firstSentNs when it was first sent
 * @param lastSentNs when it was last sent
 * @param unanswered whether the last attempt ended without an answer
 */
record PendingCommit(Commit commit, ZoneView view, Row row, long firstSentNs, long lastSentNs, boolean unanswered) {

    PendingCommit asUnanswered() {
        return new PendingCommit(commit, view, row, firstSentNs, lastSentNs, true);
    }

    PendingCommit asRepeated(long nowNs) {
        return new PendingCommit(commit, view, row, firstSentNs, nowNs, false);
    }
}
