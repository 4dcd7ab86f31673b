package org.pollensill.evacuation;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.Set;

/**
 * The availability zones that the operator empties, as a leader knows them. Nothing starts in such a zone, and nothing
 * starts anywhere while the knowledge is older than its bound. The runners of a zone that is taken back are used again
 * one after the other, so that the waiting work of the fleet does not move there at once. Times are monotonic
 * milliseconds.
 */
public final class ZoneEvacuations {

    /** Time in which the runners of a zone that is taken back are used again, at even intervals. */
    public static final long RETURN_MS = 2_000;

    /** Part of the operator's bound that is kept for a start order on its way to a runner. */
    public static final long ORDER_ALLOWANCE_MS = 1_500;

    /** The smallest bound that leaves time for one failed read of the requests. */
    public static final long MIN_BOUND_MS = ORDER_ALLOWANCE_MS + 2_000;

    private static final int RETURN_SLOTS = 64;

    /**
     * The zones whose evacuation has begun and those taken back.
     *
     * @param begun the zones in which nothing starts from now on
     * @param returned the zones that were taken back
     */
    public record Change(Set<String> begun, Set<String> returned) {

        /**
         * Creates a change.
         *
         * @throws NullPointerException if an argument is null
         */
        public Change {
            begun = Set.copyOf(Objects.requireNonNull(begun, "begun is null"));
            returned = Set.copyOf(Objects.requireNonNull(returned, "returned is null"));
        }
    }

    private final OptionalLong maxAgeMs;
    private final Map<String, Long> evacuatedSinceMs = new LinkedHashMap<>();
    private final Map<String, Long> returnedAtMs = new HashMap<>();
    private long knownAsOfMs = Long.MIN_VALUE / 2;

    private ZoneEvacuations(OptionalLong maxAgeMs) {
        this.maxAgeMs = maxAgeMs;
    }

    /**
     * Returns the evacuations of a deployment without such requests.
     *
     * @return evacuations of which none is ever known
     */
    public static ZoneEvacuations unsupported() {
        return new ZoneEvacuations(OptionalLong.empty());
    }

    /**
     * Returns the evacuations of a deployment whose operator may request them.
     *
     * @param boundMs time after a request from which nothing may start in the zone, in milliseconds
     * @return evacuations that are unknown until the first update
     * @throws IllegalArgumentException if the bound is below {@link #MIN_BOUND_MS}
     */
    public static ZoneEvacuations within(long boundMs) {
        if (boundMs < MIN_BOUND_MS) {
            throw new IllegalArgumentException("bound " + boundMs + " ms is below " + MIN_BOUND_MS + " ms");
        }
        return new ZoneEvacuations(OptionalLong.of(boundMs - ORDER_ALLOWANCE_MS));
    }

    /**
     * Replaces the requested evacuations. One that is older than what is known has no effect.
     *
     * @param zones the zones to empty
     * @param asOfMs time at which the read of the requests was sent
     * @param nowMs the time
     * @return what has changed
     */
    public Change update(Set<String> zones, long asOfMs, long nowMs) {
        Set<String> begun = new HashSet<>();
        Set<String> returned = new HashSet<>();
        if (asOfMs < knownAsOfMs) {
            return new Change(begun, returned);
        }
        knownAsOfMs = asOfMs;
        for (String zone : zones) {
            if (evacuatedSinceMs.putIfAbsent(zone, nowMs) == null) {
                returnedAtMs.remove(zone);
                begun.add(zone);
            }
        }
        for (String zone : Set.copyOf(evacuatedSinceMs.keySet())) {
            if (!zones.contains(zone)) {
                evacuatedSinceMs.remove(zone);
                returnedAtMs.put(zone, nowMs);
                returned.add(zone);
            }
        }
        return new Change(begun, returned);
    }

    /**
     * Returns whether the requests are known well enough to start anything.
     *
     * @param nowMs the time
     * @return true where there are no such requests, or the last read is recent
     */
    public boolean known(long nowMs) {
        return maxAgeMs.isEmpty() || nowMs - knownAsOfMs <= maxAgeMs.getAsLong();
    }

    /**
     * Returns whether a zone is being emptied.
     *
     * @param zone the zone
     * @return whether nothing may start there
     */
    public boolean evacuated(String zone) {
        return evacuatedSinceMs.containsKey(zone);
    }

    /**
     * Returns from when a runner is used again after its zone was taken back.
     *
     * @param zone the zone of the runner
     * @param runner the identity of the runner
     * @return the time, long past where the zone was not emptied before
     */
    public long usableFromMs(String zone, String runner) {
        Long returnMs = returnedAtMs.get(zone);
        if (returnMs == null) {
            return Long.MIN_VALUE / 2;
        }
        return returnMs + RETURN_MS * Math.floorMod(runner.hashCode(), RETURN_SLOTS) / RETURN_SLOTS;
    }

    /**
     * Returns the zones that are being emptied.
     *
     * @return the time from which the leader knows it, by zone
     */
    public Map<String, Long> evacuatedSinceMs() {
        return Map.copyOf(evacuatedSinceMs);
    }
}
