package org.pollensill.platform;

import java.util.List;
import java.util.Objects;

/**
 * An atomic conditional write of several rows.
 *
 * @param commitId identity of the commit, by which the writer recognises it after a lost answer
 * @param conditions the conditions; if one does not hold, nothing is written
 * @param writes the writes
 */
public record Commit(String commitId, List<Condition> conditions, List<Write> writes) {

    /**
     * Creates a commit.
     *
     * @throws NullPointerException if an argument is null
     */
    public Commit {
        Objects.requireNonNull(commitId, "commitId is null");
        conditions = List.copyOf(Objects.requireNonNull(conditions, "conditions is null"));
        writes = List.copyOf(Objects.requireNonNull(writes, "writes is null"));
    }
}
