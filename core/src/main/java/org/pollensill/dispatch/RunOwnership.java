package org.pollensill.dispatch;

/**
 * Decides whether a run that was ordered may still be at work on its runner. It ends for the leader only by a report of
 * the incarnation that may hold it, by the certain end of that incarnation, or by a lease that has expired; no list,
 * address or record shows that a run has ended.
 */
final class RunOwnership {

    /** Number of the renewal that confirms a run placed by a former leader: any report to this leader must list it. */
    static final long ANY_RENEWAL = -1;

    /** Number of the renewal that confirms a run whose start is unanswered: no report must list it yet. */
    static final long NO_RENEWAL = Long.MAX_VALUE;

    private RunOwnership() {}

    /**
     * Returns whether a run has ended that is missing in a report of the incarnation that may hold it: the renewal was
     * sent after the run was confirmed.
     */
    static boolean endsByOmission(TaskState task, long reportedRenewal) {
        return task.confirmedAtRenewal < reportedRenewal;
    }

    /**
     * Returns whether a run has ended that is missing in the first report of a new incarnation. A start order that is
     * unanswered, or whose answer came after the renewal was sent, may have reached the new incarnation.
     */
    static boolean endsByRestart(TaskState task, long reportedRenewal) {
        if (task.startIsUnanswered() || task.phase == TaskState.Phase.ORDERED && !task.startIsUnsent()) {
            return false;
        }
        return task.phase != TaskState.Phase.RUNNING || endsByOmission(task, reportedRenewal);
    }

    /**
     * Returns whether a run has ended since another runner has answered a renewal at an address: the run was confirmed
     * at this address before the renewal was sent, so the incarnation that held it has ended.
     */
    static boolean endsByOtherRunner(TaskState task, String address, long renewal) {
        if (task.phase == TaskState.Phase.PLACED || task.startIsUnsent()) {
            return true;
        }
        return task.phase == TaskState.Phase.RUNNING
                && !address.isEmpty()
                && address.equals(task.runAddress)
                && endsByOmission(task, renewal);
    }

    /** Returns whether the leases of all runs that were ordered on a runner have expired, so that none is at work. */
    static boolean endsByLease(RunnerState runner, long nowMs) {
        return nowMs > runner.leaseExpiredAtMs();
    }
}
