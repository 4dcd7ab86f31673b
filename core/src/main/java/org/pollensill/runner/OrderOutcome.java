package org.pollensill.runner;

/** What is known about an order after its call. */
public enum OrderOutcome {
    /** Carried out. */
    ACCEPTED,
    /** Refused: the runner has seen a higher fencing token. */
    FENCED,
    /** Refused: this or a later run was already stopped or has ended there. */
    OLD_RUN,
    /** Refused: the lease would have ended before it began. */
    LATE,
    /** Refused: the runner has no room. */
    NO_ROOM,
    /** Refused: the queue's policy has not allowed this runner. */
    NO_TICKET,
    /** Refused by an unhealthy runner; nothing was done. */
    UNHEALTHY,
    /** Another life of a runner answers at the address, so the one that was meant has ended. */
    OTHER_RUNNER,
    /** Refused as malformed. */
    INVALID,
    /** The order never left this process. */
    NOT_SENT,
    /** No answer: it may have been carried out, or will be later. */
    UNANSWERED
}
