package org.pollensill.contract;

import java.util.Objects;

/**
 * Outcome of a request as far as it is certain. A dispatch is recorded here before the first byte is written, so that a
 * request that may have reached an upstream is never reported as not run.
 *
 * @param state state of the decision
 * @param open attempts that were dispatched and have not ended
 * @param lost attempts that ended without a usable answer and may have run
 */
public record RequestOutcome(State state, int open, int lost) {

    private static final RequestOutcome RECEIVED = new RequestOutcome(State.OPEN, 0, 0);

    /** State of the decision about a request. */
    public enum State {
        /** No decision yet. */
        OPEN,
        /** The upstream's complete answer is forwarded to the caller. */
        COMPLETED,
        /** The request has not run and will not run. */
        NOT_RUN,
        /** The request may have run, or may still run. */
        UNKNOWN
    }

    /**
     * Creates an outcome.
     *
     * @throws NullPointerException if {@code state} is null
     * @throws IllegalArgumentException if {@code open} or {@code lost} is negative, or if {@code state} is
     *     {@code NOT_RUN} although an attempt may have run
     */
    public RequestOutcome {
        Objects.requireNonNull(state, "state is null");
        if (open < 0 || lost < 0) {
            throw new IllegalArgumentException("open or lost is negative: " + open + ", " + lost);
        }
        if (state == State.NOT_RUN && open + lost > 0) {
            throw new IllegalArgumentException("not run despite " + open + " open and " + lost + " lost attempts");
        }
    }

    /**
     * Returns the outcome of a request that has just been received.
     *
     * @return the outcome
     */
    public static RequestOutcome received() {
        return RECEIVED;
    }

    /**
     * Records that a request is about to be written to an upstream.
     *
     * @return the new outcome
     * @throws IllegalStateException if the outcome is decided, because a request must not start after its outcome was
     *     reported to the caller
     */
    public RequestOutcome dispatched() {
        if (isDecided()) {
            throw new IllegalStateException("dispatch after the request was decided as " + state);
        }
        return new RequestOutcome(state, open + 1, lost);
    }

    /**
     * Records that it is certain that an attempt has not run: no byte was written, or the upstream refused it and
     * stated that it has not run.
     *
     * @return the new outcome
     */
    public RequestOutcome attemptNotRun() {
        requireOpenAttempt();
        return new RequestOutcome(state, open - 1, lost);
    }

    /**
     * Records that an attempt ended without a usable answer; it may have run.
     *
     * @return the new outcome
     */
    public RequestOutcome attemptLost() {
        requireOpenAttempt();
        return new RequestOutcome(state, open - 1, lost + 1);
    }

    /**
     * Records the complete answer to an attempt. It completes the request only if the outcome is open.
     *
     * @return the new outcome
     */
    public RequestOutcome answered() {
        requireOpenAttempt();
        return new RequestOutcome(isDecided() ? state : State.COMPLETED, open - 1, lost);
    }

    /**
     * Decides the outcome of a request that gets no answer: {@code NOT_RUN} if that is certain, otherwise
     * {@code UNKNOWN}.
     *
     * @return the new outcome, or this one if it is already decided
     */
    public RequestOutcome decideWithoutAnswer() {
        if (isDecided()) {
            return this;
        }
        return new RequestOutcome(mayHaveRun() ? State.UNKNOWN : State.NOT_RUN, open, lost);
    }

    /**
     * Returns whether an attempt may have run or may still run.
     *
     * @return whether it may
     */
    public boolean mayHaveRun() {
        return open + lost > 0;
    }

    /**
     * Returns whether the outcome is decided.
     *
     * @return whether it is
     */
    public boolean isDecided() {
        return state != State.OPEN;
    }

    private void requireOpenAttempt() {
        if (open == 0) {
            throw new IllegalStateException("an attempt ended that was not dispatched");
        }
    }
}
