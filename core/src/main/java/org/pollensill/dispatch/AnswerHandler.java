package org.pollensill.dispatch;

import java.util.Optional;

import org.pollensill.job.TaskName;
import org.pollensill.runner.OrderAnswer;
import org.pollensill.runner.OrderOutcome;
import org.pollensill.runner.RenewalAnswer;
import org.pollensill.runner.RunnerReport;

/**
 * Handles the answers of runners to renewals and throttling orders. An answer may come after its timeout, after a later
 * answer, or from a former incarnation of its runner.
 */
final class AnswerHandler {

    private final Fleet fleet;
    private final ReportHandler reportHandler;
    private final InterferenceController interferenceController;
    private final RunnerMaintenance maintenance;
    private final DispatchListener listener;

    AnswerHandler(
            Fleet fleet,
            ReportHandler reportHandler,
            InterferenceController interferenceController,
            RunnerMaintenance maintenance,
            DispatchListener listener) {
        this.fleet = fleet;
        this.reportHandler = reportHandler;
        this.interferenceController = interferenceController;
        this.maintenance = maintenance;
        this.listener = listener;
    }

    /** Records what the outcome of any order shows about the network and about this leader. */
    void onOutcome(String runnerId, OrderOutcome outcome, long nowMs) {
        if (outcome == OrderOutcome.UNANSWERED) {
            maintenance.onUnanswered(nowMs);
        }
        if (outcome == OrderOutcome.FENCED) {
            listener.fenced(runnerId);
        }
    }

    void onThrottle(TaskName name, int run, int percent, String runnerId, OrderAnswer answer, long nowMs) {
        onOutcome(runnerId, answer.outcome(), nowMs);
        Optional<RunnerState> runner = fleet.get(runnerId);
        if (runner.isEmpty()) {
            return;
        }
        TaskState task = runner.get().tasks.get(name);
        if (task == null || task.run != run || task.pace != percent || task.paceConfirmed) {
            return;
        }
        if (answer.outcome() != OrderOutcome.ACCEPTED) {
            // The runner may or may not have the new pace, so it is ordered again after the next report.
            task.paceUnknown = true;
            return;
        }
        task.paceConfirmed = true;
        task.paceUnknown = false;
        if (task.resuming) {
            task.resuming = false;
            task.progressAtMs = nowMs;
            task.progressClockMs = 0;
        }
    }

    void onRenewal(String runnerId, long sequence, RenewalAnswer answer, long nowMs) {
        onOutcome(runnerId, answer.outcome(), nowMs);
        Optional<RunnerState> found = fleet.get(runnerId);
        if (found.isEmpty()) {
            return;
        }
        RunnerState runner = found.get();
        boolean latest = runner.renewalSequence == sequence;
        if (latest) {
            runner.renewalInFlight = false;
        }
        if (answer.report().isPresent()) {
            onReport(runner, sequence, answer.report().get(), nowMs);
            return;
        }
        if (!latest) {
            return;
        }
        if (answer.outcome() == OrderOutcome.OTHER_RUNNER) {
            reportHandler.onOtherRunner(runner, sequence, nowMs);
            runner.nextRenewalAtMs = nowMs + DispatchTiming.UNRECORDED_RENEWAL_INTERVAL_MS;
            return;
        }
        runner.unansweredRenewals++;
        // The acknowledgement in the renewal may be lost as well.
        runner.lastAcknowledgedEnd = 0;
        runner.nextRenewalAtMs = nowMs + DispatchTiming.RETRY_DELAY_MS;
    }

    private void onReport(RunnerState runner, long sequence, RunnerReport report, long nowMs) {
        long incarnationStartMs = report.incarnationStartMs();
        boolean late = sequence != runner.renewalSequence;
        boolean otherIncarnation = incarnationStartMs != 0 && incarnationStartMs != runner.incarnationStartMs;
        boolean overtaken = sequence < runner.lastReportSequence;
        if (otherIncarnation && (overtaken || late && incarnationStartMs < runner.incarnationStartMs)) {
            // The report may be of an earlier incarnation, whose runs are released already.
            return;
        }
        if (otherIncarnation) {
            reportHandler.beginIncarnation(runner, sequence, report, nowMs);
        }
        if (reportHandler.apply(runner, sequence, report, nowMs)) {
            interferenceController.apply(runner, report, nowMs);
        }
        // Ended runs must be durable before the next renewal can acknowledge them.
        boolean unrecorded = runner.lastSeenEnd > runner.lastDurableEnd;
        runner.nextRenewalAtMs = unrecorded ? nowMs + DispatchTiming.UNRECORDED_RENEWAL_INTERVAL_MS : nowMs;
    }
}
