package org.pollensill.coordinator;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Virtual time for tests: actions run in the order of their due times when the time is advanced. */
final class ManualTimer implements Timer {

    private record Action(long dueMs, long number, Runnable run) {}

    private final PriorityQueue<Action> actions =
            new PriorityQueue<>(Comparator.comparingLong(Action::dueMs).thenComparingLong(Action::number));
    private long nowMs = 1_000;
    private long count;

    long nowMs() {
        return nowMs;
    }

    @Override
    public Runnable schedule(long delayMs, Runnable action) {
        Action scheduled = new Action(nowMs + delayMs, count++, action);
        actions.add(scheduled);
        return () -> actions.remove(scheduled);
    }

    void advance(long durationMs) {
        long endMs = nowMs + durationMs;
        while (!actions.isEmpty() && actions.peek().dueMs() <= endMs) {
            Action next = actions.poll();
            nowMs = Math.max(nowMs, next.dueMs());
            next.run().run();
        }
        nowMs = endMs;
    }

    /** Lets time pass without running actions, as for a process that is delayed. */
    void pause(long durationMs) {
        nowMs += durationMs;
    }
}
