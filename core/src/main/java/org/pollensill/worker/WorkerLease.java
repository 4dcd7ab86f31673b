package org.pollensill.worker;

import java.util.Objects;
import java.util.Optional;

/**
 * The lease of a task, in the clock of the worker that runs it.
 *
 * @param untilWorkerClockMs the latest end sent to the worker
 */
public record WorkerLease(long untilWorkerClockMs) {

    /**
     * Returns the lease with a later end. An earlier end has no effect, since a renewal sent before may have arrived.
     *
     * @param newUntilWorkerClockMs the new end
     * @return the lease
     */
    public WorkerLease renewed(long newUntilWorkerClockMs) {
        return newUntilWorkerClockMs <= untilWorkerClockMs ? this : new WorkerLease(newUntilWorkerClockMs);
    }

    /**
     * Returns whether the lease has definitely lapsed.
     *
     * @param clock the last reading of the worker's clock, empty for none
     * @param nowNs local monotonic time
     * @return false while the task may still run
     */
    public boolean hasLapsed(Optional<WorkerClock> clock, long nowNs) {
        Objects.requireNonNull(clock, "clock is null");
        return clock.isPresent() && clock.get().hasPassed(untilWorkerClockMs, nowNs);
    }
}
