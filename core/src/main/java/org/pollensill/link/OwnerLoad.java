package org.pollensill.link;

import java.util.Objects;

/**
 * Last reported load of one kind at an owner.
 *
 * @param owner name of the owner's host
 * @param place location of the owner relative to this process
 * @param service the service
 * @param kind the kind
 * @param freeSlots slots available to a new request without queueing
 * @param queueWaitNs expected queueing time of a new request
 * @param oneWayNs network delay to the owner, in one direction
 * @param ageNs age of the report
 */
public record OwnerLoad(
        String owner,
        Place place,
        String service,
        String kind,
        int freeSlots,
        long queueWaitNs,
        long oneWayNs,
        long ageNs) {

    /** Location of an owner relative to this process, nearest first. */
    public enum Place {
        /** This process. */
        HERE,
        /** The zone of this process. */
        ZONE,
        /** Another zone of this region. */
        REGION,
        /** Another region. */
        OTHER_REGION
    }

    /**
     * Creates a load.
     *
     * @throws NullPointerException if an argument is null
     * @throws IllegalArgumentException if a number is negative
     */
    public OwnerLoad {
        Objects.requireNonNull(owner, "owner is null");
        Objects.requireNonNull(place, "place is null");
        Objects.requireNonNull(service, "service is null");
        Objects.requireNonNull(kind, "kind is null");
        if (freeSlots < 0 || queueWaitNs < 0 || oneWayNs < 0 || ageNs < 0) {
            throw new IllegalArgumentException("freeSlots, queueWaitNs, oneWayNs or ageNs of " + owner
                    + " is negative: " + freeSlots + ", " + queueWaitNs + ", " + oneWayNs + ", " + ageNs);
        }
    }

    /**
     * Returns the latency that forwarding to this owner adds: the network round trip plus the queueing time.
     *
     * @return the added latency in nanoseconds
     */
    public long costNs() {
        return 2 * oneWayNs + (freeSlots > 0 ? 0 : queueWaitNs);
    }
}
