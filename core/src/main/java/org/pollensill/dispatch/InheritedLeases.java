package org.pollensill.dispatch;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import org.pollensill.leader.LeaseBounds;

/**
 * When the leases that former leaders have granted, or may still grant, are guaranteed to have expired. The bounds are
 * those that the last leader has stored, counted from the time at which its successor has first seen them stored.
 * Times are monotonic milliseconds of the new leader.
 */
public final class InheritedLeases {

    private record RunnerLease(long incarnationStartMs, long expiredAtMs) {}

    /** Time from which no former leader sends orders. */
    private final long ordersEndAtMs;

    private final long expiredAtMs;
    private final Map<String, RunnerLease> runners;

    private InheritedLeases(long ordersEndAtMs, long expiredAtMs, Map<String, RunnerLease> runners) {
        this.ordersEndAtMs = ordersEndAtMs;
        this.expiredAtMs = expiredAtMs;
        this.runners = Map.copyOf(runners);
    }

    /**
     * Returns the leases of a leader that has stored no bounds.
     *
     * @param ordersEndAtMs time from which it sends no orders
     * @return its leases
     */
    public static InheritedLeases unrecorded(long ordersEndAtMs) {
        return new InheritedLeases(
                ordersEndAtMs, ordersEndAtMs + DispatchTiming.maxLocalLeaseMs(DispatchTiming.LEASE_MS), Map.of());
    }

    /**
     * Returns the leases of a former leader.
     *
     * @param stored the bounds in its last commit, empty where a version that stores none has led
     * @param seenAtMs time at which that commit was first seen to be stored
     * @param stopped whether it certainly sends no more orders
     * @param nowMs the time
     * @return the leases
     */
    public static InheritedLeases of(Optional<LeaseBounds> stored, long seenAtMs, boolean stopped, long nowMs) {
        Objects.requireNonNull(stored, "stored is null");
        if (stored.isEmpty()) {
            return unrecorded(stopped ? nowMs : nowMs + DispatchTiming.UNCONFIRMED_RENEWAL_LIMIT_MS);
        }
        LeaseBounds bounds = stored.get();
        long ownOrdersEndAtMs = seenAtMs;
        long ownExpiredAtMs = seenAtMs + bounds.ownMs();
        if (bounds.ownMs() > 0) {
            long unconfirmedEndAtMs = seenAtMs + DispatchTiming.UNCONFIRMED_RENEWAL_LIMIT_MS;
            ownOrdersEndAtMs = stopped ? Math.min(nowMs, unconfirmedEndAtMs) : unconfirmedEndAtMs;
        }
        if (stopped) {
            ownExpiredAtMs = Math.min(ownExpiredAtMs, nowMs + DispatchTiming.maxLocalLeaseMs(DispatchTiming.LEASE_MS));
        }
        long formerExpiredAtMs = seenAtMs + bounds.formerMs();
        Map<String, RunnerLease> runners = new LinkedHashMap<>();
        bounds.runners()
                .forEach((id, bound) ->
                        runners.put(id, new RunnerLease(bound.incarnationStartMs(), seenAtMs + bound.remainingMs())));
        return new InheritedLeases(
                Math.max(ownOrdersEndAtMs, formerExpiredAtMs), Math.max(ownExpiredAtMs, formerExpiredAtMs), runners);
    }

    /** Returns when the leases on a runner have expired, granted on the clock of the incarnation that is known. */
    long expiredAtMs(String runner) {
        RunnerLease named = runners.get(runner);
        return named == null ? expiredAtMs : named.expiredAtMs();
    }

    /** Returns when the leases on a runner have expired that its former leader has named, empty for one not named. */
    Optional<Long> namedExpiredAtMs(String runner) {
        return Optional.ofNullable(runners.get(runner)).map(RunnerLease::expiredAtMs);
    }

    /**
     * Returns when the leases on a runner have expired if orders may have reached another incarnation than the one that
     * they were meant for: they named a time on the clock of the former one, which a runner shortens to no less than its
     * maximum. A bound that was stored when that incarnation was known already counts.
     */
    long expiredInAnyIncarnationAtMs(String runner, long incarnationStartMs) {
        long longestAtMs = ordersEndAtMs + DispatchTiming.maxLocalLeaseMs(DispatchTiming.MAX_LEASE_MS);
        RunnerLease named = runners.get(runner);
        if (named == null) {
            return longestAtMs;
        }
        // The promise made for a named runner does not hold back orders that are carried out late.
        boolean covered = named.incarnationStartMs() == incarnationStartMs;
        return covered ? named.expiredAtMs() : Math.max(named.expiredAtMs(), longestAtMs);
    }

    /**
     * Returns the bounds that a new leader stores until it grants leases itself.
     *
     * @param nowMs the time
     * @return what remains of the bounds
     */
    public LeaseBounds remaining(long nowMs) {
        Map<String, LeaseBounds.RunnerBound> remaining = new LinkedHashMap<>();
        runners.forEach((id, lease) -> remaining.put(
                id, new LeaseBounds.RunnerBound(lease.incarnationStartMs(), Math.max(0, lease.expiredAtMs() - nowMs))));
        return new LeaseBounds(Math.max(0, expiredAtMs - nowMs), 0, remaining);
    }
}
