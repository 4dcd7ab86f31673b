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
final class LeaseBoundsRecorder {

    /** Maximum number of named runners, which limits the size of the leader row. */
    static final int MAX_NAMED_RUNNERS = 200;

    private static final Comparator<RunnerState> BY_LEASE_EXPIRY =
            Comparator.comparingLong(RunnerState::leaseExpiredAtMs);

    private final Fleet fleet;
    private final InheritedLeases inherited;
    /** Runners that get no lease, since a commit may be stored that promises so. */
    private final Set<String> promised = new HashSet<>();

    private boolean grants;
    private boolean grantsStored;

    LeaseBoundsRecorder(Fleet fleet, InheritedLeases inherited) {
        this.fleet = fleet;
        this.inherited = inherited;
    }

    /**
     * Returns the bounds for the next commit.
     *
     * @param active whether all stored placements are known
     * @param ownMs time for which leases that are granted before the following commit may last
     * @param nowMs the time
     */
    LeaseBounds bounds(boolean active, long ownMs, long nowMs) {
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

    /** Handles a commit that has taken effect: only the runners that it names get no lease. */
    void stored(LeaseBounds bounds) {
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

    /** Returns whether a runner waits for a commit to get a lease. */
    boolean awaitsCommit(boolean active) {
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
