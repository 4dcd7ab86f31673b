package org.pollensill.coordinator;

/** Runs actions on the event loop after a delay. */
@FunctionalInterface
interface Timer {

    /**
     * Schedules an action.
     *
     * @param delayMs the delay
     * @param action the action
     * @return cancels the action, unless it has run
     */
    Runnable schedule(long delayMs, Runnable action);
}
