package org.pollensill.dispatch;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Decisions of the advice service on the runners of a step: tickets for allowed runners, and refusals. */
final class Tickets {

    /** Minimum validity left when a start is sent: time for a commit, the start and one retry. */
    static final long MIN_VALIDITY_MS = 400;

    private record Ticket(String value, long incarnationStartMs, long expiresAtMs) {}

    private final Map<String, Ticket> tickets = new HashMap<>();
    private final Set<String> refusedRunners = new HashSet<>();

    /** Records a decision. Whether a runner is allowed never changes, but tickets expire. */
    void recordDecision(Map<String, Long> requested, Map<String, String> allowed, long expiresAtMs) {
        for (Map.Entry<String, Long> runner : requested.entrySet()) {
            String value = allowed.get(runner.getKey());
            if (value == null) {
                refusedRunners.add(runner.getKey());
                tickets.remove(runner.getKey());
            } else {
                tickets.put(runner.getKey(), new Ticket(value, runner.getValue(), expiresAtMs));
            }
        }
    }

    /** Returns the ticket for the runner's current incarnation, if it is valid long enough for a start. */
    Optional<String> forRunner(RunnerState runner, long nowMs) {
        Ticket ticket = tickets.get(runner.id);
        if (ticket == null
                || ticket.incarnationStartMs() != runner.incarnationStartMs
                || ticket.expiresAtMs() - nowMs < MIN_VALIDITY_MS) {
            return Optional.empty();
        }
        return Optional.of(ticket.value());
    }

    /** Returns whether a runner was allowed earlier, so that another request yields a new ticket. */
    boolean wasAllowed(RunnerState runner) {
        return tickets.containsKey(runner.id);
    }

    /** Returns whether the queue's policy excludes a runner from the step. */
    boolean isRefused(RunnerState runner) {
        return refusedRunners.contains(runner.id);
    }

    /** Invalidates a ticket that its runner has rejected. */
    void invalidate(String runnerId) {
        Ticket ticket = tickets.get(runnerId);
        if (ticket != null) {
            tickets.put(runnerId, new Ticket(ticket.value(), ticket.incarnationStartMs(), Long.MIN_VALUE / 2));
        }
    }
}
