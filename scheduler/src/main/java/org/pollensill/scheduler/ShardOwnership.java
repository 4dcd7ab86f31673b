package org.pollensill.scheduler;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.pollensill.batch.Ownership;

/** Tells which shards of the zone this process owns. */
public interface ShardOwnership {

    /** Starts to take part in the ownership of the zone's shards. */
    void start();

    /**
     * Returns how far this process owns a shard now.
     *
     * @param shard the shard's number
     * @param nowNs monotonic time
     * @return the ownership
     */
    Ownership current(int shard, long nowNs);

    /**
     * Returns the operators' address of a shard's owner.
     *
     * @param shard the shard's number
     * @return the address, empty where it is not known
     */
    Optional<String> ownerAddress(int shard);

    /**
     * Gives up all shards. Nothing is done for them any more when this is called.
     *
     * @return completion
     */
    CompletableFuture<Void> release();
}
