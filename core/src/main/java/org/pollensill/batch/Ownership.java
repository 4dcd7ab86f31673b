package org.pollensill.batch;

/**
 * Ownership of a shard by a process.
 *
 * @param state the state
 * @param epoch the epoch of the ownership, 0 without ownership
 * @param formerOwnerResolved whether there is no former owner, or it has released the shard or has certainly terminated
 */
public record Ownership(State state, long epoch, boolean formerOwnerResolved) {

    /** No ownership. */
    public static final Ownership NONE = new Ownership(State.NONE, 0, false);

    /** States of an ownership. */
    public enum State {
        /** Another process owns the shard, or none does. */
        NONE,
        /** Owned, but not recently confirmed: leases are renewed, and no task is started. */
        UNCONFIRMED,
        /** Owned and recently confirmed. */
        CONFIRMED
    }

    /**
     * Creates an ownership.
     *
     * @throws IllegalArgumentException if the epoch of an owner is less than 1
     */
    public Ownership {
        if (state != State.NONE && epoch < 1) {
            throw new IllegalArgumentException("epoch of an owner is less than 1: " + epoch);
        }
    }

    /**
     * Returns a confirmed ownership that has no former owner to wait for.
     *
     * @param epoch the epoch
     * @return the ownership
     */
    public static Ownership confirmed(long epoch) {
        return new Ownership(State.CONFIRMED, epoch, true);
    }
}
