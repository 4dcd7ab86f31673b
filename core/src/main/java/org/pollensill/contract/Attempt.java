package org.pollensill.contract;

import java.util.Objects;

import org.pollensill.upstream.Slot;

/**
 * One dispatch of a request to an upstream. The daemon reports the result of every attempt to the pool with exactly one
 * call of {@link OwnerPool#answered}, {@link OwnerPool#failed} or {@link OwnerPool#notWritten}. Guarded by the pool's
 * locks.
 */
public final class Attempt {

    final PendingRequest request;
    final Slot slot;
    TimerWheel.Timer<Timeout> hedgeTimer;
    TimerWheel.Timer<Timeout> executionBoundTimer;
    boolean ended;
    private final int number;

    Attempt(PendingRequest request, Slot slot, int number) {
        this.request = Objects.requireNonNull(request, "request is null");
        this.slot = Objects.requireNonNull(slot, "slot is null");
        this.number = number;
    }

    /**
     * Returns the request's id.
     *
     * @return the request id
     */
    public String requestId() {
        return request.description.requestId();
    }

    /**
     * Returns the number of the attempt among those of its request.
     *
     * @return 1 for the first attempt
     */
    public int number() {
        return number;
    }

    /**
     * Returns the name of the upstream that the attempt was dispatched to.
     *
     * @return the upstream's name
     */
    public String upstream() {
        return slot.upstream().name();
    }

    /**
     * Returns when the attempt was dispatched.
     *
     * @return time on the monotonic clock
     */
    public long dispatchedNs() {
        return slot.dispatchedNs();
    }

    @Override
    public String toString() {
        return "Attempt[" + requestId() + "#" + number + " at " + upstream() + "]";
    }
}
