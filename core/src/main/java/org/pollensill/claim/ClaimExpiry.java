package org.pollensill.claim;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

import org.pollensill.platform.Commit;
import org.pollensill.platform.Condition;
import org.pollensill.platform.Prefix;
import org.pollensill.platform.Row;
import org.pollensill.platform.Write;

/**
 * Scans all claims page by page and deletes those older than the retention time. A key whose claim is deleted counts as
 * new, so the retention time must exceed the time for which callers retry requests.
 */
public final class ClaimExpiry {

    private static final int PAGE_ROWS = 100;

    private final long retentionMs;
    private final String idPrefix;
    private String afterKey = "";
    private long lastId;

    /**
     * Creates an expiry whose scan starts at the first claim.
     *
     * @param retentionMs age from which a claim is deleted
     * @param idPrefix prefix of the commit ids, unique to this process
     * @throws IllegalArgumentException if {@code retentionMs} is less than 1
     */
    public ClaimExpiry(long retentionMs, String idPrefix) {
        if (retentionMs < 1) {
            throw new IllegalArgumentException("retentionMs is less than 1: " + retentionMs);
        }
        this.retentionMs = retentionMs;
        this.idPrefix = Objects.requireNonNull(idPrefix, "idPrefix is null");
    }

    /**
     * Returns the next page to read.
     *
     * @return the page
     */
    public Prefix nextPage() {
        return new Prefix(ClaimKey.PREFIX, afterKey, PAGE_ROWS);
    }

    /**
     * Processes a page. The scan restarts at the first claim after the last page.
     *
     * @param rows the page's rows in key order
     * @param nowMs the current wall-clock time
     * @return the commit that deletes the page's expired claims, empty if there are none; a conflict means that a claim
     *     has changed, and needs no retry because the next scan covers the claim again
     */
    public Optional<Commit> pageRead(List<Row> rows, long nowMs) {
        afterKey = rows.size() < PAGE_ROWS ? "" : rows.get(rows.size() - 1).key();
        List<Condition> conditions = new ArrayList<>();
        List<Write> writes = new ArrayList<>();
        for (Row row : rows) {
            if (isExpired(row, nowMs)) {
                conditions.add(new Condition(row.key(), row.version()));
                writes.add(Write.delete(row.key()));
            }
        }
        return writes.isEmpty()
                ? Optional.empty()
                : Optional.of(new Commit(idPrefix + "-expiry-" + ++lastId, conditions, writes));
    }

    private boolean isExpired(Row row, long nowMs) {
        try {
            return nowMs - ClaimRow.decode(row.value()).claimedAtMs() >= retentionMs;
        } catch (ClaimRowException e) {
            // A row that cannot be decoded may have been written by a later version and is kept.
            return false;
        }
    }
}
