package org.pollensill.dispatch;

/** Why a long-running task has no run, as far as its leader knows. */
public enum WithoutRunCause {
    /** A former leader has placed it, and the runner has not reported to this leader; its lease may not have expired. */
    INHERITED_LEASE,
    /** Its runner has stopped answering, and its lease has not expired. */
    SILENT_RUNNER,
    /** Its run is being stopped. */
    STOPPING,
    /** Its start is ordered and not confirmed. */
    UNCONFIRMED_START,
    /** Its last run has failed, and the delay before the next one has not passed. */
    RETRY_DELAY,
    /** A runner is reserved for it on which it does not fit yet. */
    RESERVED,
    /** It fits on a runner whose capacity is kept for other tasks. */
    HELD,
    /** It would fit on a runner that is quarantined or backed off after refusals. */
    QUARANTINE,
    /** It fits on no runner. */
    NO_ROOM
}
