package org.pollensill.dispatch;

import java.util.Optional;

/** Why a runner cannot take a task at a given moment. */
public enum PlacementObstacle {
    /** The runner is no longer in the list of available runners. */
    NOT_LISTED,
    /** The runner belongs to another service or lacks the required label. */
    NO_MATCH,
    /** The runner is draining. */
    DRAINING,
    /** The availability zone of the runner is being emptied. */
    ZONE_EVACUATED,
    /** The zone was taken back a short time ago, and the runner's turn to be used again has not come. */
    ZONE_RETURNING,
    /** The runner has not confirmed this leader's fencing token, or its last renewal has no answer. */
    UNRESPONSIVE,
    /** The runner has started anew, and its list entry is that of another incarnation. */
    ENTRY_OUTDATED,
    /** The runner, which does not guard its capacity, runs what no task is known for, until that has been stopped. */
    UNASSIGNED_RUNS,
    /** The runner is quarantined after failures, or its probe task may still show whether it works. */
    QUARANTINED,
    /** The runner has refused a start a short time ago. */
    BACKED_OFF,
    /** The advice service has granted no ticket for the runner, or the ticket expires too soon. */
    NO_TICKET,
    /** The runner has the maximum number of tasks of the step. */
    PER_RUNNER_LIMIT,
    /** The runner has too few free processors. */
    PROCESSORS,
    /** The runner has enough processors and too little free memory. */
    MEMORY,
    /** The runner has enough processors and memory and too few free accelerators. */
    ACCELERATORS,
    /** The free capacity of the runner is reserved for an overdue long-running task. */
    RESERVED,
    /** A best-effort task finds too few idle processors, or would slow down latency-critical tasks. */
    HEADROOM;

    // Placement asks each runner for its obstacle, so the results are not allocated anew.
    private final Optional<PlacementObstacle> found = Optional.of(this);

    Optional<PlacementObstacle> found() {
        return found;
    }
}
