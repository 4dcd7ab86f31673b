package org.pollensill.runner;

/** Outcome of an order, as far as the caller can determine it. */
public enum OrderOutcome {
    /** Carried out. */
    ACCEPTED,
    /** Refused: the runner has seen a higher fencing token. */
    FENCED,
    /** Refused: this or a later run of the task has already been stopped or has ended on the runner. */
    OLD_RUN,
    /** Refused: the lease had already expired when the order arrived. */
    LATE,
    /** Refused: the runner does not have enough free capacity. */
    NO_ROOM,
    /** Refused: the order has no valid ticket from the queue's policy for this runner. */
    NO_TICKET,
    /** Refused by an unhealthy runner; the order had no effect. */
    UNHEALTHY,
    /** Refused: another incarnation answers at the address, so the addressed one has ended. */
    OTHER_RUNNER,
    /** Refused as malformed. */
    INVALID,
    /** The order was not sent. */
    NOT_SENT,
    /** No usable answer: the order may have been carried out, or may be later. */
    UNANSWERED
}
