package org.pollensill.runner;

import java.util.Objects;
import java.util.Optional;

/**
 * Order that renews the lease of a runner, acknowledges ended runs and requests a report.
 *
 * @param leaseEndMs new expiry of the lease on the runner's clock, empty to leave it unchanged
 * @param fencingToken the fencing token
 * @param incarnationStartMs the incarnation whose ended runs are acknowledged, as Unix time in milliseconds; another
 *     one must not get the acknowledgement
 * @param acknowledgedSequence sequence number of the last ended run that is stored durably, 0 to acknowledge none
 * @param waitMs max time that the runner may delay the report until a run ends
 */
public record RenewalOrder(
        Optional<Long> leaseEndMs, long fencingToken, long incarnationStartMs, long acknowledgedSequence, long waitMs) {

    /**
     * Creates an order.
     *
     * @throws NullPointerException if {@code leaseEndMs} is null
     */
    public RenewalOrder {
        Objects.requireNonNull(leaseEndMs, "leaseEndMs is null");
    }
}
