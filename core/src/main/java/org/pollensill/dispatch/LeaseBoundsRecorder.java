package org.pollensill.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.pollensill.leader.LeaseBounds;

/**
 * Determines the bounds of leases that are stored with each commit. A silent runner is named with its own bound, which
 * is a promise: once it may be stored, the runner gets no lease until a later commit without it has taken effect, so a
 * successor need not wait for leases that could have been granted meanwhile.
 */
public final class LeaseBoundsRecorder {

    /** Maximum number of named runners; with the longest identities they take 46 KB of the leader row. */
    static final int MAX_NAMED_RUNNERS = 100;

    private static final Comparator<RunnerState> BY_LEASE_EXPIRY =
            Comparator.comparingLong(RunnerState::leaseExpiredAtMs);

    private final Fleet fleet;
    private final InheritedLeases inherited;
    /** Runners that get no lease, since a commit may be stored that promises so. */
    private final Set<String> promised = new HashSet<>();

    private boolean active;
    private boolean grants;
    private boolean grantsStored;

    LeaseBoundsRecorder(Fleet fleet, InheritedLeases inherited) {
        this.fleet = fleet;
        this.inherited = inherited;
    }

    /** Lets this leader grant leases, since all stored placements are known. */
    void activate() {
        active = true;
    }

    /**
     * Returns the bounds for the commit that begins now. Some runners get no lease until a commit has taken effect that no
     * longer names them.
     *
     * @param nowMs the time
     * @return the bounds
     */
    public LeaseBounds bounds(long nowMs) {
        return bounds(DispatchTiming.maxLocalLeaseMs(DispatchTiming.UNCONFIRMED_RENEWAL_LIMIT_MS), nowMs);
    }

    /**
     * Returns the bounds for the commit by which this leader releases its lease: it grants none after that.
     *
     * @param nowMs the time
     * @return the bounds
     */
    public LeaseBounds finalBounds(long nowMs) {
        long ownMs = DispatchTiming.maxLocalLeaseMs(DispatchTiming.LEASE_MS) + DispatchTiming.LEASE_EXPIRY_MARGIN_MS;
        return bounds(ownMs, nowMs);
    }

    private LeaseBounds bounds(long ownMs, long nowMs) {
        grants = grants || active && hasResponsiveRunner();
        if (!grants) {
            return inherited.remaining(nowMs);
        }
        List<RunnerState> named = new ArrayList<>();
        for (RunnerState runner : fleet.all()) {
            boolean lastsLonger = runner.isResponsive() && runner.leaseExpiredAtMs() - nowMs > ownMs;
            if (runner.hasOrderedTasks() && (!runner.isResponsive() || lastsLonger)) {
                named.add(runner);
            }
        }
        named.sort(BY_LEASE_EXPIRY);
        Map<String, LeaseBounds.RunnerBound> runners = new LinkedHashMap<>();
        long unnamedMs = 0;
        for (RunnerState runner : named) {
            long remainingMs = Math.max(0, runner.leaseExpiredAtMs() - nowMs);
            if (runners.size() == MAX_NAMED_RUNNERS) {
                unnamedMs = Math.max(unnamedMs, remainingMs);
                continue;
            }
            runners.put(runner.id, new LeaseBounds.RunnerBound(runner.knownIncarnationStartMs(), remainingMs));
            if (remainingMs < ownMs) {
                promised.add(runner.id);
            }
        }
        return new LeaseBounds(unnamedMs, ownMs, runners);
    }

    /**
     * Handles a commit that has taken effect: only the runners that it names get no lease.
     *
     * @param bounds the bounds that it has stored
     */
    public void stored(LeaseBounds bounds) {
        grantsStored = grantsStored || bounds.ownMs() > 0;
        promised.removeIf(id -> {
            LeaseBounds.RunnerBound bound = bounds.runners().get(id);
            return bound == null || bound.remainingMs() >= bounds.ownMs();
        });
    }

    /** Returns whether a runner may get a lease. */
    boolean mayGrant(RunnerState runner) {
        return !promised.contains(runner.id);
    }

    /**
     * Returns whether a runner that answers waits for a commit to get a lease.
     *
     * @return whether new bounds should be stored
     */
    public boolean awaitsCommit() {
        if (active && !grantsStored && hasResponsiveRunner()) {
            return true;
        }
        for (String id : promised) {
            if (fleet.get(id).map(RunnerState::isResponsive).orElse(false)) {
                return true;
            }
        }
        return false;
    }

    private boolean hasResponsiveRunner() {
        for (RunnerState runner : fleet.all()) {
            if (runner.isResponsive()) {
                return true;
            }
        }
        return false;
    }
}
