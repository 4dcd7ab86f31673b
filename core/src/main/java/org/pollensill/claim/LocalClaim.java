package org.pollensill.claim;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/** State of a claim that this process writes, holds or looks up. Guarded by the {@code claims} lock. */
final class LocalClaim {

    enum State {
        /** The row is being inserted. */
        CLAIMING,
        /** The insert conflicted with another claim, whose row is being read. */
        READING,
        /** The process that holds the claim is being queried for the answer. */
        QUERYING_HOLDER,
        /** The claim is stored; its request may be dispatched or is running. */
        HELD,
        /** The answer is available and is being stored. */
        COMPLETED,
        /** The request was not run; the row is being deleted. */
        WITHDRAWING
    }

    /** A request that waits for the claim's outcome; a remote one is a query of another process. */
    record Waiter(String requestId, String payloadHash, boolean remote) {}

    final String rowKey;
    final ClaimRow row;
    final List<Waiter> waiters = new ArrayList<>();
    State state = State.CLAIMING;
    /** The request that the claim is for; empty once that request has been answered. */
    Optional<String> requestId;

    long version;
    Optional<StoredAnswer> answer = Optional.empty();
    /** Whether the process that holds the claim has been queried and knows no answer. */
    boolean holderQueried;

    /** Payload hash of the conflicting row, once it has been read. */
    Optional<String> storedPayloadHash = Optional.empty();

    LocalClaim(String rowKey, ClaimRow row, String requestId) {
        this.rowKey = Objects.requireNonNull(rowKey, "rowKey is null");
        this.row = Objects.requireNonNull(row, "row is null");
        this.requestId = Optional.of(requestId);
    }
}
