package org.pollensill.claim;

import java.util.Objects;
import java.util.Optional;

import org.pollensill.platform.Condition;
import org.pollensill.platform.Row;
import org.pollensill.platform.Write;

/**
 * One row of a group commit.
 *
 * @param claim the claim that the row belongs to
 * @param expectedVersion version that the row must have, or {@link Condition#ABSENT}
 * @param value new value, empty to delete the row
 */
record ClaimWrite(LocalClaim claim, long expectedVersion, Optional<String> value) {

    ClaimWrite {
        Objects.requireNonNull(claim, "claim is null");
        Objects.requireNonNull(value, "value is null");
    }

    String rowKey() {
        return claim.rowKey;
    }

    boolean isInsert() {
        return expectedVersion == Condition.ABSENT;
    }

    Condition toCondition() {
        return new Condition(rowKey(), expectedVersion);
    }

    Write toWrite() {
        return new Write(rowKey(), value);
    }

    int bytes() {
        return value.map(String::length).orElse(0);
    }

    /** Returns whether the row has the value that this write sets. */
    boolean isApplied(Optional<Row> row) {
        return value.equals(row.map(Row::value));
    }

    /** Returns whether the row still has the expected version, so that this write may yet take effect. */
    boolean mayStillApply(Optional<Row> row) {
        return expectedVersion == row.map(Row::version).orElse(Condition.ABSENT);
    }
}
