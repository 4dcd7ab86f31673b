package org.pollensill.runner;

import java.util.Objects;
import java.util.Optional;

/**
 * Answer to an order.
 *
 * @param outcome the outcome of the order
 * @param clockMs reading of the runner's clock, empty if the answer has none
 */
public record OrderAnswer(OrderOutcome outcome, Optional<Long> clockMs) {

    /**
     * Creates an answer.
     *
     * @throws NullPointerException if an argument is null
     */
    public OrderAnswer {
        Objects.requireNonNull(outcome, "outcome is null");
        Objects.requireNonNull(clockMs, "clockMs is null");
    }
}
