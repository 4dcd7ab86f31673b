package org.pollensill.admission;

import java.util.HashMap;
import java.util.Map;

/**
 * The memory that a leader has granted to single jobs that exceed the share of their coordinator, until it knows those
 * jobs. Times are monotonic milliseconds.
 */
public final class MemoryGrants {

    /** Time after which a grant ends whose job has not come. */
    static final long GRANT_MS = 30_000;

    /** Part of the free memory that the shares of all coordinators take; the rest is for grants. */
    private static final double SHARED_FRACTION = 0.5;

    /** Number of coordinators that share what is free before the first leader. */
    private static final int FIRST_COORDINATORS = 16;

    private record Grant(long bytes, long untilMs) {}

    private final Map<String, Grant> grants = new HashMap<>();

    /**
     * Returns the credit of each coordinator before the first leader of a store.
     *
     * @return the credit
     */
    public static MemoryCredit firstCredit() {
        return new MemoryCredit((long) (SHARED_FRACTION * JobMemory.limitBytes()) / FIRST_COORDINATORS, 0);
    }

    /**
     * Grants memory to a job if enough is free beside the shares.
     *
     * @param id the job
     * @param bytes its memory
     * @param freeBytes what the jobs that the leader knows leave free
     * @param nowMs the time
     * @return whether it was granted, now or before
     */
    public boolean grant(String id, long bytes, long freeBytes, long nowMs) {
        boolean granted = grantedBytes(nowMs) + bytes <= maxGrantBytes(freeBytes) || grants.containsKey(id);
        if (granted) {
            grants.put(id, new Grant(bytes, nowMs + GRANT_MS));
        }
        return granted;
    }

    /**
     * Returns the largest grant.
     *
     * @param freeBytes what the known jobs leave free
     * @return the amount in bytes
     */
    static long maxGrantBytes(long freeBytes) {
        return (long) ((1 - SHARED_FRACTION) * freeBytes);
    }

    /**
     * Ends the grant of a job that the leader knows.
     *
     * @param id the job
     */
    public void arrived(String id) {
        grants.remove(id);
    }

    /**
     * Returns the share of each coordinator.
     *
     * @param freeBytes what the jobs that the leader knows leave free
     * @param coordinators the number of coordinators
     * @param nowMs the time
     * @return the share in bytes
     */
    public long shareBytes(long freeBytes, int coordinators, long nowMs) {
        long shared = Math.min((long) (SHARED_FRACTION * freeBytes), freeBytes - grantedBytes(nowMs));
        return Math.max(0, shared / Math.max(1, coordinators));
    }

    private long grantedBytes(long nowMs) {
        grants.values().removeIf(grant -> nowMs >= grant.untilMs());
        long bytes = 0;
        for (Grant grant : grants.values()) {
            bytes += grant.bytes();
        }
        return bytes;
    }
}
