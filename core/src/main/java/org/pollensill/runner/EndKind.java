package org.pollensill.runner;

/** How a run ended. */
public enum EndKind {
    /** It finished its work. */
    DONE,
    /** It failed, through its own fault or the runner's. */
    FAILED,
    /** It was stopped by an order. */
    STOPPED,
    /** Its lease expired. */
    LAPSED,
    /** Another member of its gang ended. */
    GANG_BROKEN,
    /** The other members of its gang did not come in time. */
    GANG_INCOMPLETE
}
