package org.pollensill.contract;

import java.util.Objects;

/**
 * Settings of one kind of work of a service.
 *
 * @param kind the kind's name
 * @param urgency rank of the kind, 0 for the most urgent
 * @param guaranteedShare share of an owner's slots guaranteed to the kind, from 0 to 1
 * @param cap maximum share of an owner's slots, from {@code guaranteedShare} to 1
 * @param queueLimit maximum number of requests queued at one owner
 * @param executionBoundMs maximum time that an upstream works on a request
 * @param slotsPerUpstreamCap maximum number of slots at one upstream
 * @param idempotent whether requests may run more than once by default; a request can override it
 * @param deadlineMs default deadline of requests whose caller states none
 * @param objective target share of requests answered within {@code latencyBoundMs}, between 0 and 1
 * @param latencyBoundMs latency bound of the objective
 * @param windowDays evaluation window of the objective
 */
public record KindContract(
        String kind,
        int urgency,
        double guaranteedShare,
        double cap,
        int queueLimit,
        long executionBoundMs,
        int slotsPerUpstreamCap,
        boolean idempotent,
        long deadlineMs,
        double objective,
        long latencyBoundMs,
        int windowDays) {

    /**
     * Creates a contract.
     *
     * @throws NullPointerException if {@code kind} is null
     * @throws IllegalArgumentException if a value is out of range
     */
    public KindContract {
        Objects.requireNonNull(kind, "kind is null");
        if (urgency < 0 || guaranteedShare < 0 || cap < guaranteedShare || cap > 1) {
            throw new IllegalArgumentException("urgency, guaranteedShare or cap of " + kind + " is out of range: "
                    + urgency + ", " + guaranteedShare + ", " + cap);
        }
        if (queueLimit < 0 || executionBoundMs < 1 || slotsPerUpstreamCap < 1 || deadlineMs < 1) {
            throw new IllegalArgumentException(
                    "queueLimit, executionBoundMs, slotsPerUpstreamCap or deadlineMs of " + kind + " is out of range");
        }
        if (objective <= 0 || objective >= 1 || latencyBoundMs < 1 || windowDays < 1) {
            throw new IllegalArgumentException(
                    "objective, latencyBoundMs or windowDays of " + kind + " is out of range");
        }
    }
}
