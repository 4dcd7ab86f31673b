package org.pollensill.dispatch;

import java.util.Optional;

import org.pollensill.dispatch.DispatchListener.Cause;
import org.pollensill.job.TaskName;
import org.pollensill.retry.RetryBudget;
import org.pollensill.runner.OrderAnswer;
import org.pollensill.runner.OrderOutcome;
import org.pollensill.runner.RunnerAddress;
import org.pollensill.runner.StartOrder;

/** Sends the start orders of durable placements and handles their answers until the outcome of each is certain. */
final class StartSender {

    /** Maximum attempts of an unanswered start before the run is stopped; start orders are idempotent. */
    private static final int MAX_START_ATTEMPTS = 4;

    /** Repeats of starts per first attempt; a lost answer is rare, so many missing answers have another cause. */
    private static final double REPEATS_PER_START = 0.2;

    /** Repeats of starts per second when nothing new is started. */
    private static final double REPEATS_PER_SECOND = 20;

    /** Maximum number of saved repeats, so that the loss of some answers is repaired at once. */
    private static final int MAX_SAVED_REPEATS = 50;

    private final RetryBudget repeats = RetryBudget.of(REPEATS_PER_START, REPEATS_PER_SECOND, MAX_SAVED_REPEATS);
    private final long fencingToken;
    private final Orders orders;
    private final LeaseBoundsRecorder leaseBounds;
    private final Fleet fleet;
    private final JobTable jobs;
    private final RunnerHealth health;
    private final ReportHandler reportHandler;

    StartSender(
            long fencingToken,
            Orders orders,
            LeaseBoundsRecorder leaseBounds,
            Fleet fleet,
            JobTable jobs,
            RunnerHealth health,
            ReportHandler reportHandler) {
        this.fencingToken = fencingToken;
        this.orders = orders;
        this.leaseBounds = leaseBounds;
        this.fleet = fleet;
        this.jobs = jobs;
        this.health = health;
        this.reportHandler = reportHandler;
    }

    void send(TaskState task, long nowMs) {
        RunnerState runner = task.runner;
        Optional<RunnerAddress> to = runner.address();
        if (to.isEmpty() || runner.clock.isEmpty()) {
            reportHandler.releaseLost(task, Cause.RUNNER_RESTARTED, nowMs, 0);
            return;
        }
        if (task.placedIncarnationStartMs != runner.incarnationStartMs) {
            // The runner was chosen by what its former incarnation was.
            if (task.startAttempts == 0) {
                reportHandler.releaseLost(task, Cause.RUNNER_RESTARTED, nowMs, 0);
            } else {
                reportHandler.stop(task, Cause.RUNNER_RESTARTED, nowMs);
            }
            return;
        }
        if (runner.zoneEvacuated) {
            if (task.startAttempts == 0) {
                reportHandler.releaseLost(task, Cause.ZONE_EVACUATED, nowMs, 0);
            } else {
                // A repeat may begin the run there; the stop lets none begin and shows whether one has.
                reportHandler.stop(task, Cause.ZONE_EVACUATED, nowMs);
            }
            return;
        }
        if (runner.mustEndUnassignedRuns()) {
            task.startDueAtMs = nowMs + DispatchTiming.RETRY_DELAY_MS;
            return;
        }
        boolean mayGrant = leaseBounds.mayGrant(runner) && orders.maxLeaseMs() >= DispatchTiming.START_LEASE_MS;
        if (!orders.mayStart() || !mayGrant) {
            task.startDueAtMs = nowMs + DispatchTiming.RETRY_DELAY_MS;
            return;
        }
        long untilMs = runner.clock.get().minReadingMs(nowMs) + DispatchTiming.START_LEASE_MS;
        runner.recordLeaseEnd(untilMs);
        runner.lastStartSentAtMs = nowMs;
        task.runAddress =
                task.startAttempts == 0 || task.runAddress.equals(to.get().address())
                        ? to.get().address()
                        : "";
        if (task.startAttempts == 0) {
            repeats.firstAttempt();
        }
        task.startAttempts++;
        task.startDueAtMs = 0;
        orders.start(
                to.get(),
                new StartOrder(
                        task.name,
                        task.run,
                        task.step.job.request.payload(),
                        untilMs,
                        fencingToken,
                        task.checkpoint,
                        task.step.tickets.forRunner(runner, nowMs)));
    }

    void onStart(TaskName name, int run, String runnerId, OrderAnswer answer, long nowMs) {
        Optional<RunnerState> found = fleet.get(runnerId);
        Optional<TaskState> ordered = jobs.task(name);
        if (found.isEmpty() || ordered.isEmpty()) {
            return;
        }
        RunnerState runner = found.get();
        TaskState task = ordered.get();
        if (task.run != run || task.runner != runner) {
            return;
        }
        if (answer.outcome() != OrderOutcome.UNANSWERED) {
            task.startAnswers++;
        }
        if (task.phase != TaskState.Phase.ORDERED) {
            return;
        }
        switch (answer.outcome()) {
            case ACCEPTED:
                if (task.placedIncarnationStartMs == runner.incarnationStartMs) {
                    answer.clockMs().ifPresent(clockMs -> runner.observeClock(clockMs, nowMs));
                }
                reportHandler.confirm(task, runner);
                return;
            case UNANSWERED, FENCED:
                onUnconfirmedStart(task, answer.outcome(), nowMs);
                return;
            case OTHER_RUNNER:
                // What the runner has accepted before may still be at work at another address.
                runner.requestReport();
                break;
            case NO_TICKET:
                task.step.tickets.invalidate(runner.id);
                break;
            case NO_ROOM:
                runner.backOffEndMs = nowMs + DispatchTiming.START_BACK_OFF_MS;
                break;
            case UNHEALTHY:
                health.onFailure(runner, name.jobId(), nowMs);
                runner.backOffEndMs = nowMs + DispatchTiming.START_BACK_OFF_MS;
                break;
            default:
                runner.backOffEndMs = nowMs + DispatchTiming.RETRY_DELAY_MS;
                break;
        }
        if (task.startAttempts > 1) {
            // An earlier, unanswered attempt of the same run may still take effect.
            reportHandler.stop(task, Cause.REFUSED, nowMs);
            return;
        }
        reportHandler.releaseLost(task, Cause.REFUSED, nowMs, 0);
    }

    private void onUnconfirmedStart(TaskState task, OrderOutcome outcome, long nowMs) {
        if (outcome == OrderOutcome.UNANSWERED && !task.stopping && task.startAttempts < MAX_START_ATTEMPTS) {
            task.runner.backOffEndMs = Math.max(task.runner.backOffEndMs, nowMs + DispatchTiming.RETRY_DELAY_MS);
            repeat(task, nowMs);
            return;
        }
        reportHandler.stop(task, Cause.REFUSED, nowMs);
    }

    /** Repeats an unanswered start if the budget allows it; otherwise a late answer or the next report may confirm it. */
    private void repeat(TaskState task, long nowMs) {
        if (orders.mayStart() && repeats.tryRepeat(nowMs)) {
            send(task, nowMs);
            return;
        }
        task.startDueAtMs = nowMs + orders.answerTimeoutMs();
    }

    /** Sends a start that the leader lease did not permit, or repeats one that had exceeded the budget. */
    void sendDue(TaskState task, long nowMs) {
        boolean waits = task.phase == TaskState.Phase.ORDERED && !task.stopping && task.startDueAtMs != 0;
        if (!waits || nowMs < task.startDueAtMs) {
            return;
        }
        if (task.startAttempts == 0) {
            send(task, nowMs);
            return;
        }
        repeat(task, nowMs);
    }

    void onStop(TaskName name, int run, String runnerId, OrderAnswer answer, long nowMs) {
        Optional<RunnerState> runner = fleet.get(runnerId);
        if (runner.isEmpty()) {
            return;
        }
        TaskState task = runner.get().tasks.get(name);
        if (task == null || task.run != run) {
            return;
        }
        boolean stopEffective = answer.outcome() == OrderOutcome.ACCEPTED || answer.outcome() == OrderOutcome.OLD_RUN;
        // A former incarnation that has rejected the run says nothing about the one that the order may have reached.
        boolean sameIncarnation = task.stopSentAtMs >= runner.get().incarnationKnownAtMs;
        if (stopEffective && sameIncarnation && task.phase == TaskState.Phase.ORDERED) {
            // The run can no longer begin, so the next report shows whether it had begun.
            task.confirmedAtRenewal = runner.get().renewalSequence;
            runner.get().nextRenewalAtMs = nowMs;
        }
    }
}
