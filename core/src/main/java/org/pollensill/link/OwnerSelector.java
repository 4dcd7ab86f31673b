package org.pollensill.link;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/** Strategy that selects the owner to which a request is forwarded. */
@FunctionalInterface
public interface OwnerSelector {

    /**
     * Selects an owner.
     *
     * @param request properties of the request
     * @param owners reported loads of the owners of the request's service and kind that have not been tried yet
     * @param random source of randomness
     * @return the selected owner, empty if there is no candidate
     */
    Optional<OwnerLoad> choose(Request request, List<OwnerLoad> owners, RandomGenerator random);

    /**
     * Properties of a request on which the selection depends.
     *
     * @param remainingNs time until the deadline
     * @param serviceNs expected service time of the kind
     * @param linkHasCapacity whether the budget of the link to another region now admits the request and its expected
     *     answer
     */
    record Request(long remainingNs, long serviceNs, boolean linkHasCapacity) {}

    /**
     * Returns the strategy that prefers the nearest place that can meet the deadline, and within a zone or region
     * takes the cheaper of two owners picked at random.
     *
     * @return the strategy
     */
    static OwnerSelector nearestWithinDeadline() {
        return NearestWithinDeadline.INSTANCE;
    }
}
