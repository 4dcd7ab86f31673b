package org.pollensill.dispatch;

import org.pollensill.runner.RunnerClock;

/** Timeouts and intervals of the dispatcher, in milliseconds. */
final class DispatchTiming {

    /** Lease that a renewal grants; outlives a leader failover, which takes up to about 3 s. */
    static final long LEASE_MS = 5_000;

    /** The longest lease that a runner takes; the platform's deployments shorten longer ones to at most this. */
    static final long MAX_LEASE_MS = 10_000;

    /** Lease that a start order grants until the next renewal extends it. */
    static final long START_LEASE_MS = 2_500;

    /** Maximum time that a report waits for a run to end; at most a third of the lease. */
    static final long REPORT_WAIT_MS = 1_200;

    /** Report wait where best-effort and latency-critical tasks share a runner, and while answers are being lost. */
    static final long SHORT_REPORT_WAIT_MS = 400;

    /** Delay before a runner that did not answer, or refused a start for other reasons, is used again. */
    static final long RETRY_DELAY_MS = 200;

    /** Renewal interval while ended runs are not yet durable. */
    static final long UNRECORDED_RENEWAL_INTERVAL_MS = 1_000;

    /**
     * Time after the last commit of a leader at which the last of its runner leases ends, and from which it sends no
     * renewals.
     */
    static final long UNCONFIRMED_RENEWAL_LIMIT_MS = 8_000;

    /**
     * A leader whose own lease was not confirmed for this long starts no runs; others wait longer before they take over.
     */
    static final long UNCONFIRMED_START_LIMIT_MS = 1_500;

    /** Maximum time since the last report of a runner for which its ended runs are acknowledged. */
    static final long MAX_ACKNOWLEDGEMENT_DELAY_MS = 2 * REPORT_WAIT_MS;

    /** Interval of renewals to an idle runner, which keep the estimate of its clock current. */
    static final long IDLE_POLL_INTERVAL_MS = 20_000;

    /** Interval of renewals to a runner without tasks that takes none before other runs have been stopped there. */
    static final long UNASSIGNED_RUNS_POLL_INTERVAL_MS = 200;

    /** Delay before a failed run is repeated, so that a faulty runner does not use up all attempts at once. */
    static final long FAILED_RUN_RETRY_DELAY_MS = 100;

    /** Back-off before the next placement on a runner that refused a start for lack of capacity or as unhealthy. */
    static final long START_BACK_OFF_MS = 400;

    /** Duration of the first quarantine of a failing runner; doubles with each further failure. */
    static final long QUARANTINE_MS = 1_000;

    /** Maximum duration of a quarantine; with the probe after it shorter than a long-running task may be without a run. */
    static final long MAX_QUARANTINE_MS = 4_000;

    /** Minimum time without progress after which a task counts as stalled and is moved. */
    static final long MIN_STALL_MS = 2_500;

    /** Added to lease expiry times to cover rounding and scheduling delays. */
    static final long LEASE_EXPIRY_MARGIN_MS = 100;

    private DispatchTiming() {}

    /** Returns the local time for which a lease of a runner may last, whose clock may be slow. */
    static long maxLocalLeaseMs(long leaseMs) {
        return RunnerClock.maxLocalDurationMs(leaseMs) + LEASE_EXPIRY_MARGIN_MS;
    }
}
