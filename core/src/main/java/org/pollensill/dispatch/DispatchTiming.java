package org.pollensill.dispatch;

/** Times of the dispatcher, in milliseconds. */
final class DispatchTiming {

    /** Lease that a hold grants; survives a leader's loss, which takes up to about 3 s to replace. */
    static final long LEASE_MS = 5_000;

    /** Lease that a start grants until the next hold extends it. */
    static final long START_LEASE_MS = 2_500;

    /** Longest time that a report waits for an end; a third of the lease or less. */
    static final long REPORT_WAIT_MS = 1_200;

    /** Report wait where tasks that fill run beside tasks that serve, and while answers are lost. */
    static final long SHORT_REPORT_WAIT_MS = 400;

    /** Pause before a runner that did not answer is asked again. */
    static final long RETRY_MS = 200;

    /** While ends cannot be recorded, the lease is renewed this often. */
    static final long UNRECORDED_RENEWAL_MS = 1_000;

    /** A leader that has not confirmed its lease for this long stops extending the leases of runners. */
    static final long UNCONFIRMED_HOLD_MS = 8_000;

    /** A runner without work is asked this often, so that its clock stays known. */
    static final long IDLE_LOOK_MS = 20_000;

    /** Pause before a failed run is repeated, so that a bad runner does not use up all attempts at once. */
    static final long FAILED_RETRY_MS = 100;

    /** Pause before a runner without room is tried again. */
    static final long NO_ROOM_MS = 400;

    /** First time for which a runner that fails everything is set aside; doubles with each further failure. */
    static final long SET_ASIDE_MS = 1_000;

    /** Longest time for which a runner is set aside. */
    static final long SET_ASIDE_MOST_MS = 8_000;

    /** A task whose progress stands still this long, at least, is moved. */
    static final long STALL_MS = 2_500;

    /** Added to lapse times for rounding and scheduling. */
    static final long MARGIN_MS = 100;

    private DispatchTiming() {}
}
