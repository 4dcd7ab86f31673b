package org.pollensill.dispatch;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** What is known about the runners that a queue's policy allows to run a step. */
final class Tickets {

    /** Validity that must be left when a start is sent: a commit, the start and its repetition. */
    static final long LEAST_LEFT_MS = 400;

    private record Ticket(String text, long bornMs, long endMs) {}

    private final Map<String, Ticket> tickets = new HashMap<>();
    private final Set<String> refused = new HashSet<>();

    /** Takes the decision about runners; which runners are allowed never changes, tickets expire. */
    void decided(Map<String, Long> asked, Map<String, String> allowed, long endMs) {
        for (Map.Entry<String, Long> runner : asked.entrySet()) {
            String text = allowed.get(runner.getKey());
            if (text == null) {
                refused.add(runner.getKey());
                tickets.remove(runner.getKey());
            } else {
                tickets.put(runner.getKey(), new Ticket(text, runner.getValue(), endMs));
            }
        }
    }

    /** Returns the ticket for a runner's present life, where one is valid long enough. */
    Optional<String> forRunner(RunnerState runner, long nowMs) {
        Ticket ticket = tickets.get(runner.id);
        if (ticket == null || ticket.bornMs() != runner.bornMs || ticket.endMs() - nowMs < LEAST_LEFT_MS) {
            return Optional.empty();
        }
        return Optional.of(ticket.text());
    }

    /** Returns whether a runner was allowed at some time, so that asking for it again brings a ticket. */
    boolean wasAllowed(RunnerState runner) {
        return tickets.containsKey(runner.id);
    }

    /** Returns whether the policy keeps the step off a runner. */
    boolean isRefused(RunnerState runner) {
        return refused.contains(runner.id);
    }

    /** Forgets a ticket that its runner has not accepted. */
    void drop(String runnerId) {
        Ticket ticket = tickets.get(runnerId);
        if (ticket != null) {
            tickets.put(runnerId, new Ticket(ticket.text(), ticket.bornMs(), Long.MIN_VALUE / 2));
        }
    }
}
