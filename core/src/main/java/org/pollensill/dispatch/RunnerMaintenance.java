package org.pollensill.dispatch;

import java.util.ArrayList;
import java.util.Optional;

import org.pollensill.dispatch.DispatchListener.Cause;
import org.pollensill.job.Trait;
import org.pollensill.runner.RenewalOrder;
import org.pollensill.runner.RunnerAddress;

/** Periodic work of the dispatcher: lease renewal and expiry, repeated stops, stalled tasks, draining runners. */
final class RunnerMaintenance {

    /** Delay before a stop order without effect is repeated; doubles with each repeat. */
    private static final long STOP_RETRY_DELAY_MS = 500;

    private static final int MAX_STOP_DELAY_DOUBLINGS = 2;

    /** Time without an effect of a stop order, in answer timeouts, that shows no more than a delay. */
    private static final int STOP_ANSWER_TIMEOUTS = 2;

    /**
     * Time after the expiry of the lease of a listed runner for which a report is awaited before its tasks are started
     * elsewhere: the runner may have listed ends that were not read yet.
     */
    static final long REPORT_AFTER_LAPSE_MS = 4_000;

    /** A task is stalled if it makes no progress for this many times the expected duration of one percent. */
    private static final int STALL_FACTOR = 6;

    /** Time after an unanswered order for which further losses are expected. */
    private static final long LOSS_EXPECTED_MS = 5_000;

    private static final int PERCENT = 100;

    private final Fleet fleet;
    private final ReportHandler reportHandler;
    private final StartSender starts;
    private final RunnerHealth health;
    private final Orders orders;
    private final LeaseBoundsRecorder leaseBounds;
    private final long fencingToken;
    private long unansweredAtMs = Long.MIN_VALUE / 2;

    RunnerMaintenance(
            Fleet fleet,
            ReportHandler reportHandler,
            StartSender starts,
            RunnerHealth health,
            Orders orders,
            LeaseBoundsRecorder leaseBounds,
            long fencingToken) {
        this.fleet = fleet;
        this.reportHandler = reportHandler;
        this.starts = starts;
        this.health = health;
        this.orders = orders;
        this.leaseBounds = leaseBounds;
        this.fencingToken = fencingToken;
    }

    /** Handles an unanswered order: reports wait less for a while, so that a lost report is detected sooner. */
    void onUnanswered(long nowMs) {
        unansweredAtMs = nowMs;
    }

    void tick(long nowMs, boolean mayRenew) {
        for (RunnerState runner : new ArrayList<>(fleet.all())) {
            checkLease(runner, nowMs);
            for (TaskState task : new ArrayList<>(runner.tasks.values())) {
                checkTask(runner, task, nowMs);
            }
            if (renewalIsDue(runner, nowMs, mayRenew)) {
                sendRenewal(runner, nowMs, mayRenew);
            }
        }
    }

    /** Renews the leases of all runners with tasks a last time, without waiting for their reports. */
    void renewLeases(long nowMs) {
        for (RunnerState runner : new ArrayList<>(fleet.all())) {
            Optional<RunnerAddress> to = runner.address();
            if (to.isEmpty() || runner.tasks.isEmpty() || !mayGrantLease(runner)) {
                continue;
            }
            long untilMs = leaseEndMs(runner, nowMs);
            runner.recordLeaseEnd(untilMs);
            runner.renewalAddress = to.get().address();
            orders.renewLease(
                    to.get(),
                    new RenewalOrder(
                            Optional.of(untilMs),
                            fencingToken,
                            runner.incarnationStartMs,
                            acknowledgedEnd(runner, nowMs),
                            0),
                    fleet.nextRenewal(runner, nowMs));
        }
    }

    private void checkLease(RunnerState runner, long nowMs) {
        if (!runner.hasOrderedTasks() || !RunOwnership.endsByLease(runner, nowMs)) {
            runner.lapsedAtMs = 0;
            return;
        }
        if (runner.lapsedAtMs == 0) {
            runner.lapsedAtMs = nowMs;
            runner.renewalBeforeLapse = runner.renewalSequence;
            runner.unansweredRenewals = Math.max(1, runner.unansweredRenewals);
        }
        boolean mayReport = runner.listed && nowMs - runner.lapsedAtMs < REPORT_AFTER_LAPSE_MS;
        for (TaskState task : new ArrayList<>(runner.tasks.values())) {
            // The end of a long-running task completes nothing, so no report of it is awaited.
            boolean awaited = mayReport && !task.step.spec.hasTrait(Trait.RESTART_ALWAYS);
            if (task.phase != TaskState.Phase.PLACED && !awaited) {
                reportHandler.releaseLapsed(task, nowMs);
            }
        }
        if (!mayReport) {
            runner.lapsedAtMs = 0;
        }
    }

    private void checkTask(RunnerState runner, TaskState task, long nowMs) {
        if (task.stopping) {
            if (nowMs - task.stopSentAtMs >= stopRetryDelayMs(task)) {
                reportHandler.repeatStop(task, nowMs);
            }
            return;
        }
        if (task.phase != TaskState.Phase.RUNNING) {
            starts.sendDue(task, nowMs);
            return;
        }
        if (runner.draining() && mustEvict(runner, task, nowMs)) {
            reportHandler.stop(task, Cause.DRAINING, nowMs);
            return;
        }
        health.onProgress(runner, task, nowMs);
        if (isStalled(runner, task, nowMs)) {
            health.onStall(runner, nowMs);
            reportHandler.stop(task, Cause.STALLED, nowMs);
        }
    }

    private long stopRetryDelayMs(TaskState task) {
        int doublings = Math.min(MAX_STOP_DELAY_DOUBLINGS, Math.max(0, task.stopAttempts - 1));
        return Math.max(STOP_RETRY_DELAY_MS << doublings, STOP_ANSWER_TIMEOUTS * orders.answerTimeoutMs());
    }

    /**
     * Returns whether a task must leave a draining runner: always if it is long-running, otherwise if it checkpoints
     * and is not expected to end before the shutdown.
     */
    private static boolean mustEvict(RunnerState runner, TaskState task, long nowMs) {
        if (task.step.spec.hasTrait(Trait.RESTART_ALWAYS)) {
            return true;
        }
        if (!task.step.spec.hasTrait(Trait.CHECKPOINTS)) {
            return false;
        }
        return task.expectedRemainingMs(nowMs) > runner.entry.get().remainingMs();
    }

    private static boolean isStalled(RunnerState runner, TaskState task, long nowMs) {
        if (task.pace == 0 || task.paceUnknown || !task.paceConfirmed || task.progressClockMs == 0) {
            return false;
        }
        if (task.percent >= PERCENT || task.step.spec.hasTrait(Trait.GANG)) {
            return false;
        }
        // Between two reports on the runner's clock, since a report may take seconds to arrive.
        long sinceProgressMs = runner.lastReportClockMs - task.progressClockMs;
        long onePercentMs = task.percent > 0
                ? (task.progressAtMs - task.startedAtMs) / task.percent
                : task.step.spec.estimateMs() / PERCENT;
        return sinceProgressMs > Math.max(DispatchTiming.MIN_STALL_MS, STALL_FACTOR * onePercentMs);
    }

    private boolean renewalIsDue(RunnerState runner, long nowMs, boolean mayRenew) {
        if (runner.renewalInFlight || runner.entry.isEmpty() || nowMs < runner.nextRenewalAtMs) {
            return false;
        }
        if (!runner.listed && runner.tasks.isEmpty()) {
            return false;
        }
        if (!runner.fenceConfirmed
                || runner.unansweredRenewals > 0
                || runner.lastDurableEnd > runner.lastAcknowledgedEnd) {
            return true;
        }
        if (runner.tasks.isEmpty()) {
            long intervalMs = runner.mustEndUnassignedRuns()
                    ? DispatchTiming.UNASSIGNED_RUNS_POLL_INTERVAL_MS
                    : DispatchTiming.IDLE_POLL_INTERVAL_MS;
            return nowMs - runner.lastAnswerAtMs >= intervalMs;
        }
        return mayRenew && mayGrantLease(runner);
    }

    private boolean mayGrantLease(RunnerState runner) {
        return runner.isResponsive() && leaseBounds.mayGrant(runner) && orders.maxLeaseMs() > 0;
    }

    private long leaseEndMs(RunnerState runner, long nowMs) {
        return runner.clock.get().minReadingMs(nowMs) + Math.min(DispatchTiming.LEASE_MS, orders.maxLeaseMs());
    }

    private void sendRenewal(RunnerState runner, long nowMs, boolean mayRenew) {
        Optional<RunnerAddress> to = runner.address();
        if (to.isEmpty()) {
            return;
        }
        Optional<Long> untilMs = Optional.empty();
        // The lease of an unresponsive runner is not renewed: it has to expire at some point, and an unanswered renewal
        // may still take effect.
        if (mayRenew && mayGrantLease(runner) && !runner.tasks.isEmpty()) {
            untilMs = Optional.of(leaseEndMs(runner, nowMs));
            runner.recordLeaseEnd(untilMs.get());
        }
        boolean longPoll = untilMs.isPresent() && runner.lastSeenEnd == runner.lastDurableEnd;
        boolean sharedRunner = runner.latencyCriticalImageCount() > 0 && runner.bestEffortMillicores > 0;
        boolean lossExpected = nowMs - unansweredAtMs < LOSS_EXPECTED_MS;
        // While leases are limited by an old commit, the next one has to be followed by renewals soon.
        boolean leaseLimited = orders.maxLeaseMs() < DispatchTiming.LEASE_MS + DispatchTiming.REPORT_WAIT_MS;
        // While answers are delayed, more reports would delay them further.
        boolean shortWait = (sharedRunner || lossExpected || leaseLimited) && !orders.congested();
        long waitMs = shortWait ? DispatchTiming.SHORT_REPORT_WAIT_MS : DispatchTiming.REPORT_WAIT_MS;
        runner.renewalAddress = to.get().address();
        runner.renewalInFlight = true;
        long acknowledgedEnd = acknowledgedEnd(runner, nowMs);
        runner.lastAcknowledgedEnd = Math.max(runner.lastAcknowledgedEnd, acknowledgedEnd);
        orders.renewLease(
                to.get(),
                new RenewalOrder(
                        untilMs, fencingToken, runner.incarnationStartMs, acknowledgedEnd, longPoll ? waitMs : 0),
                fleet.nextRenewal(runner, nowMs));
    }

    /**
     * Returns up to which number ended runs are acknowledged. The numbers begin anew in each incarnation, so nothing is
     * acknowledged to a runner that may have restarted since its last answer.
     */
    private static long acknowledgedEnd(RunnerState runner, long nowMs) {
        boolean sameIncarnation =
                runner.isResponsive() && nowMs - runner.lastAnswerAtMs <= DispatchTiming.MAX_ACKNOWLEDGEMENT_DELAY_MS;
        return sameIncarnation && runner.lastDurableEnd > runner.lastAcknowledgedEnd ? runner.lastDurableEnd : 0;
    }
}
