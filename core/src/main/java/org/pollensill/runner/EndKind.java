package org.pollensill.runner;

/** How a run ended. */
public enum EndKind {
    /** The task completed. */
    DONE,
    /** The run failed because of an error in the task or on the runner. */
    FAILED,
    /** Stopped by an order. */
    STOPPED,
    /** The lease of the runner expired. */
    LAPSED,
    /** Another member of the gang ended. */
    GANG_BROKEN,
    /** The other members of the gang did not start in time. */
    GANG_INCOMPLETE
}
