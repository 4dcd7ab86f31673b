package org.pollensill.leader;

/**
 * Limits the leases that a leader grants to runners: none lasts longer than a time after the start of the last commit
 * that the leader knows to be stored. Times are monotonic milliseconds.
 */
public final class LeaseLimit {

    private static final long NEVER_MS = Long.MIN_VALUE / 2;

    private final long limitMs;
    private long commitStartMs = NEVER_MS;
    private long storedCommitStartMs = NEVER_MS;

    private LeaseLimit(long limitMs) {
        this.limitMs = limitMs;
    }

    /**
     * Creates a limit, under which nothing may be granted yet.
     *
     * @param limitMs time after the start of a stored commit at which the last lease ends, in milliseconds
     * @return the limit
     */
    public static LeaseLimit of(long limitMs) {
        return new LeaseLimit(limitMs);
    }

    /**
     * Handles the start of a commit.
     *
     * @param bounds the bounds of leases that it stores
     * @param nowMs the time
     */
    public void onCommitBegun(LeaseBounds bounds, long nowMs) {
        commitStartMs = bounds.ownMs() > 0 ? nowMs : NEVER_MS;
    }

    /** Handles a commit that is known to be stored. */
    public void onCommitStored() {
        storedCommitStartMs = commitStartMs;
    }

    /** Handles a suspension of the process: the age of all commits is unknown, that of the one in flight included. */
    public void onSuspended() {
        commitStartMs = NEVER_MS;
        storedCommitStartMs = NEVER_MS;
    }

    /**
     * Returns the longest lease that may be granted.
     *
     * @param nowMs the time
     * @return the time in milliseconds, 0 where nothing may be granted
     */
    public long maxLeaseMs(long nowMs) {
        return Math.max(0, storedCommitStartMs + limitMs - nowMs);
    }
}
