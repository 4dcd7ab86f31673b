package org.pollensill.upstream;

import java.util.Optional;
import java.util.random.RandomGenerator;

/** Load-balancing policy that chooses the upstream of a request. */
@FunctionalInterface
public interface UpstreamChoice {

    /**
     * Chooses an upstream.
     *
     * @param usable the upstreams that have a free slot for the request
     * @param avoided an upstream to avoid if there is another one, such as one on which the request has failed
     * @param random source of randomness
     * @return the upstream, empty if {@code usable} is empty
     */
    Optional<Upstream> choose(UpstreamSet usable, Optional<Upstream> avoided, RandomGenerator random);

    /**
     * Returns the power-of-two-choices policy: the less loaded of two random upstreams.
     *
     * @return the policy
     */
    static UpstreamChoice powerOfTwoChoices() {
        return PowerOfTwoChoices.INSTANCE;
    }
}
