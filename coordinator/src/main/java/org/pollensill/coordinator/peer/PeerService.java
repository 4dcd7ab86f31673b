package org.pollensill.coordinator.peer;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.pollensill.coordinator.peer.wire.ConfigQuery;
import org.pollensill.coordinator.peer.wire.ConfigReply;
import org.pollensill.coordinator.peer.wire.StoreCall;
import org.pollensill.coordinator.peer.wire.StoreReply;
import org.pollensill.job.JobStatus;

/** Handles the calls of peers. Called on the event loop. */
public interface PeerService {

    /**
     * Returns the state of a job from the memory of the leader.
     *
     * @param jobId the job id
     * @return the state, empty if this coordinator is not the leader or has no such job
     */
    Optional<JobStatus> jobStatus(String jobId);

    /**
     * Grants memory of the leader to a job that a peer is about to accept.
     *
     * @param jobId the job id
     * @param bytes the most memory that the job takes
     * @return whether it was granted, false if this coordinator is not the leader
     */
    boolean grantMemory(String jobId, long bytes);

    /**
     * Returns whether this coordinator reaches the store directly.
     *
     * @return true if calls need no relay
     */
    boolean storeReachable();

    /**
     * Sends a call to the store on behalf of a peer.
     *
     * @param call the call
     * @return the reply; never fails
     */
    CompletableFuture<StoreReply> callStore(StoreCall call);

    /**
     * Answers a peer that reads the configuration from this coordinator.
     *
     * @param query the version that the peer knows, and how long the reply may wait for a newer one
     * @return the reply; never fails
     */
    CompletableFuture<ConfigReply> configuration(ConfigQuery query);
}
