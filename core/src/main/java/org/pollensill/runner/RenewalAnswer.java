package org.pollensill.runner;

import java.util.Objects;
import java.util.Optional;

/**
 * Answer to a renewal order.
 *
 * @param outcome the outcome of the order
 * @param report the report of the runner, empty unless the order was accepted
 */
public record RenewalAnswer(OrderOutcome outcome, Optional<RunnerReport> report) {

    /**
     * Creates an answer.
     *
     * @throws NullPointerException if an argument is null
     */
    public RenewalAnswer {
        Objects.requireNonNull(outcome, "outcome is null");
        Objects.requireNonNull(report, "report is null");
    }
}
