package org.pollensill.contract;

import java.util.Objects;
import java.util.Optional;

import org.pollensill.upstream.Upstream;

/** An admitted request whose outcome is open or that has attempts in progress. */
final class PendingRequest {

    final RequestDescription description;
    final KindQueue kind;
    RequestOutcome outcome = RequestOutcome.received();
    TimerWheel.Timer<Timeout> deadlineTimer;
    int attemptCount;
    int notRunDispatches;
    Optional<Upstream> avoidedUpstream = Optional.empty();

    /** The queue that holds the request, null while it is not queued. */
    CallerQueue callerQueue;

    PendingRequest previous;
    PendingRequest next;

    PendingRequest(RequestDescription description, KindQueue kind) {
        this.description = Objects.requireNonNull(description, "description is null");
        this.kind = Objects.requireNonNull(kind, "kind is null");
    }
}
