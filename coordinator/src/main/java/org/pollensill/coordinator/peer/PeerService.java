package org.pollensill.coordinator.peer;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.pollensill.coordinator.peer.wire.StoreCall;
import org.pollensill.coordinator.peer.wire.StoreReply;
import org.pollensill.job.JobStatus;

/** What a coordinator does for its peers. Runs on the event loop. */
public interface PeerService {

    /**
     * Returns a job's state, if this coordinator leads and knows the job.
     *
     * @param jobId the job
     * @return the state
     */
    Optional<JobStatus> jobStatus(String jobId);

    /**
     * Returns whether this coordinator reaches the store itself.
     *
     * @return whether it does
     */
    boolean storeReachable();

    /**
     * Makes a call to the store for a peer.
     *
     * @param call the call
     * @return the reply; never fails
     */
    CompletableFuture<StoreReply> callStore(StoreCall call);
}
