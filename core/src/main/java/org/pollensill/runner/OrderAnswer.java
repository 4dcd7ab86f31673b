package org.pollensill.runner;

import java.util.Objects;
import java.util.Optional;

/**
 * Answer to an order.
 *
 * @param outcome what is known about the order
 * @param clockMs the runner's clock, where it answered
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
