package org.pollensill.batch;

import java.util.Optional;

import org.pollensill.worker.Resources;
import org.pollensill.worker.Worker;
import org.pollensill.worker.WorkerLease;

/** Volatile state of a placed attempt, which is not in the log and is lost with the owner. */
final class Run {

    final Task task;
    final int attempt;
    final Worker worker;
    final long placedNs;

    /** The attempt was placed by a former owner, and the worker has not yet accepted this owner's epoch. */
    boolean inherited;

    /** The start was passed to the daemon for sending. */
    boolean sent;

    /** The start took effect or can no longer take effect. */
    boolean startResolved;

    /**
     * The worker's clock went back: it restarted and lost its record of refused starts, so only a confirmed stop rules
     * out a late start.
     */
    boolean restarted;

    long sentNs;
    boolean stopConfirmed;
    long startBeforeWorkerClockMs;
    Optional<WorkerLease> lease = Optional.empty();
    boolean running;
    long runningSinceNs;
    boolean stopRequested;
    long stopRequestedNs;
    int throttlePercent = 100;
    long throttledNs;
    Resources usage = Resources.NONE;

    Run(Task task, Worker worker, long placedNs) {
        this.task = task;
        this.attempt = task.attempt();
        this.worker = worker;
        this.placedNs = placedNs;
    }

    void extendLease(long untilWorkerClockMs) {
        lease = Optional.of(lease.map(current -> current.renewed(untilWorkerClockMs))
                .orElseGet(() -> new WorkerLease(untilWorkerClockMs)));
    }

    boolean isCurrent() {
        return task.state().isPlaced() && task.attempt() == attempt;
    }

    /** Returns whether a delayed start may still take effect. */
    boolean mayStartLater() {
        return (sent || inherited) && !startResolved;
    }
}
