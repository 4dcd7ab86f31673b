package org.pollensill.batch;

import java.util.Objects;

/**
 * Keys of a shard's rows and names of its objects.
 *
 * @param zone the availability zone
 * @param shard the shard's number in the zone
 */
public record ShardPath(String zone, int shard) {

    /** Number of shards in a zone. */
    public static final int SHARDS = 4;

    /**
     * Creates a path.
     *
     * @throws NullPointerException if {@code zone} is null
     */
    public ShardPath {
        Objects.requireNonNull(zone, "zone is null");
    }

    /**
     * Returns the shard that a name belongs to. Workers are assigned by their name, jobs by team and key. Each worker
     * thus has exactly one owner, which accounts for its capacity locally.
     *
     * @param name a worker's name or a job's team and key
     * @return the shard's number
     */
    public static int shardOf(String name) {
        int hash = 0x811c9dc5;
        for (int i = 0; i < name.length(); i++) {
            hash = (hash ^ name.charAt(i)) * 0x01000193;
        }
        hash ^= hash >>> 16;
        return Math.floorMod(hash, SHARDS);
    }

    /**
     * Returns the shard of a job.
     *
     * @param spec the job's specification
     * @return the shard's number
     */
    public static int shardOf(JobSpec spec) {
        return shardOf(spec.team() + "/" + spec.key());
    }

    /**
     * Returns the key of the head row.
     *
     * @return the key
     */
    public String head() {
        return "shard/" + zone + "/" + shard + "/head";
    }

    /**
     * Returns the prefix of the keys of log rows.
     *
     * @return the prefix
     */
    public String logPrefix() {
        return "shard/" + zone + "/" + shard + "/log/";
    }

    /**
     * Returns the key of a log row. The keys sort by sequence number.
     *
     * @param sequence the sequence number
     * @return the key
     */
    public String log(long sequence) {
        return logPrefix() + String.format("%012d", sequence);
    }

    /**
     * Returns the name of a snapshot object.
     *
     * @param sequence last sequence number that the snapshot covers
     * @return the name
     */
    public String snapshot(long sequence) {
        return "snapshot/" + zone + "/" + shard + "/" + sequence;
    }
}
