package org.pollensill.batch;

import java.util.Objects;

/**
 * Content of a shard's head row. Commits are conditional on the row's version, which fences off former owners.
 *
 * @param epoch epoch of the owner that wrote the row
 * @param owner the owner's name
 * @param nextSequence sequence number of the next log row
 * @param snapshotSequence last sequence number that the snapshot covers, 0 without a snapshot
 * @param commitId id of the commit that wrote the row
 */
public record ShardHead(long epoch, String owner, long nextSequence, long snapshotSequence, String commitId) {

    private static final int FIELDS = 5;

    /**
     * Creates a head.
     *
     * @throws NullPointerException if an argument is null
     */
    public ShardHead {
        Objects.requireNonNull(owner, "owner is null");
        Objects.requireNonNull(commitId, "commitId is null");
    }

    /**
     * Parses the value of a head row.
     *
     * @param value the value
     * @return the head
     * @throws IllegalArgumentException if the value is not a valid head
     */
    public static ShardHead parse(String value) {
        String[] f = value.split(" ");
        if (f.length != FIELDS) {
            throw new IllegalArgumentException("invalid shard head: " + value);
        }
        return new ShardHead(Long.parseLong(f[0]), f[1], Long.parseLong(f[2]), Long.parseLong(f[3]), f[4]);
    }

    /**
     * Formats the head as the value of its row.
     *
     * @return the value
     */
    public String format() {
        return epoch + " " + owner + " " + nextSequence + " " + snapshotSequence + " " + commitId;
    }
}
