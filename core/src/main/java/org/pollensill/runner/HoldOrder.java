package org.pollensill.runner;

import java.util.Objects;
import java.util.Optional;

/**
 * Order to keep running what runs, and to report.
 *
 * @param leaseEndMs new end of the lease on the runner's clock, empty where it stays
 * @param fence the fencing token
 * @param acknowledged number of the last end that is durable
 * @param waitMs longest time that the report may wait for an end
 */
public record HoldOrder(Optional<Long> leaseEndMs, long fence, long acknowledged, long waitMs) {

    /**
     * Creates an order.
     *
     * @throws NullPointerException if {@code leaseEndMs} is null
     */
    public HoldOrder {
        Objects.requireNonNull(leaseEndMs, "leaseEndMs is null");
    }
}
