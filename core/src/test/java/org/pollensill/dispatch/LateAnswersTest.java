package org.pollensill.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollensill.job.JobStatus;
import org.pollensill.job.TaskName;
import org.pollensill.runner.EndKind;
import org.pollensill.runner.OrderAnswer;
import org.pollensill.runner.OrderOutcome;
import org.pollensill.runner.RenewalAnswer;
import org.pollensill.runner.RunnerReport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against runs that are given up or started again because an answer came late. */
class LateAnswersTest extends DispatcherFixture {

    private static final String JOB = "aaaaaaaaaaaaaaaa";

    private void answerStart(RecordedOrders.Start start, OrderOutcome outcome, long nowMs) {
        Optional<Long> clockMs =
                outcome == OrderOutcome.UNANSWERED ? Optional.empty() : Optional.of(RUNNER_CLOCK_MS + nowMs - T0);
        dispatcher.onStart(
                start.order().task(), start.order().run(), start.to().id(), new OrderAnswer(outcome, clockMs), nowMs);
    }

    private void leaveUnanswered(RecordedOrders.Renewal renewal, long nowMs) {
        dispatcher.onRenewal(
                renewal.to().id(),
                renewal.sequence(),
                new RenewalAnswer(OrderOutcome.UNANSWERED, Optional.empty()),
                nowMs);
    }

    @Nested
    class Reports {

        @Test
        void shouldApplyTheEndsOfAReportThatALaterRenewalOvertook() {
            becomeLeader("r1");
            dispatcher.addJob(Samples.job(JOB, Samples.step(1)), Optional.empty(), T0);
            RecordedOrders.Start start = startOne(T0);
            RecordedOrders.Renewal first = nextRenewal(T0 + 10);
            leaveUnanswered(first, T0 + 400);
            nextRenewal(T0 + 700);
            RunnerReport.EndedRun end = end(1, start.order().task(), 1, EndKind.DONE);
            report(first, T0 + 900, List.of(), List.of(end));
            commit(T0 + 901);
            assertEquals(Optional.of(JobStatus.DONE), dispatcher.status(JOB));
        }

        @Test
        void shouldNotReleaseARunThatOnlyAnEarlierReportOmits() {
            becomeLeader("r1");
            dispatcher.addJob(Samples.job(JOB, Samples.step(1)), Optional.empty(), T0);
            RecordedOrders.Renewal beforeStart = nextRenewal(T0 + 20_000);
            leaveUnanswered(beforeStart, T0 + 20_400);
            report(nextRenewal(T0 + 20_700), T0 + 20_710, List.of(), List.of());
            RecordedOrders.Start start = startOne(T0 + 20_720);
            report(nextRenewal(T0 + 20_750), T0 + 20_760, List.of(running(start, 5)), List.of());
            report(beforeStart, T0 + 21_000, List.of(), List.of());
            commit(T0 + 21_001);
            assertTrue(orders.starts.isEmpty());
            assertEquals(0, listener.lost);
        }

        @Test
        void shouldShowThatTheRunnerAnswers() {
            becomeLeader("r1");
            dispatcher.addJob(Samples.job(JOB, Samples.step(1)), Optional.empty(), T0);
            RecordedOrders.Start start = startOne(T0);
            RecordedOrders.Renewal first = nextRenewal(T0 + 10);
            leaveUnanswered(first, T0 + 400);
            RecordedOrders.Renewal second = nextRenewal(T0 + 700);
            assertTrue(second.order().leaseEndMs().isEmpty());
            report(first, T0 + 900, List.of(running(start, 20)), List.of());
            leaveUnanswered(second, T0 + 1_000);
            report(nextRenewal(T0 + 1_300), T0 + 1_310, List.of(running(start, 30)), List.of());
            assertTrue(nextRenewal(T0 + 1_320).order().leaseEndMs().isPresent());
        }

        @Test
        void shouldNotReleaseARunWhoseEndDidNotFitIntoTheReport() {
            becomeLeader("r1");
            dispatcher.addJob(Samples.job(JOB, Samples.step(1)), Optional.empty(), T0);
            RecordedOrders.Start start = startOne(T0);
            List<RunnerReport.EndedRun> others = new ArrayList<>();
            for (int i = 1; i <= RunnerReport.MAX_LISTED_ENDS; i++) {
                others.add(end(i, new TaskName("bbbbbbbbbbbbbbbb", 0, 0, i), 1, EndKind.DONE));
            }
            report(nextRenewal(T0 + 10), T0 + 20, List.of(), others);
            commit(T0 + 30);
            assertTrue(orders.starts.isEmpty());
            RunnerReport.EndedRun end = end(501, start.order().task(), 1, EndKind.DONE);
            report(nextRenewal(T0 + 40), T0 + 50, List.of(), List.of(end));
            commit(T0 + 60);
            assertEquals(Optional.of(JobStatus.DONE), dispatcher.status(JOB));
        }
    }

    @Nested
    class ExpiredLeases {

        private RecordedOrders.Renewal letLeaseExpire() {
            RecordedOrders.Renewal renewal = nextRenewal(T0 + 10);
            leaveUnanswered(renewal, T0 + 400);
            renewal = nextRenewal(T0 + 700);
            leaveUnanswered(renewal, T0 + 1_100);
            return renewal;
        }

        @Test
        void shouldReadTheEndsOfAListedRunnerBeforeTheTaskStartsElsewhere() {
            becomeLeader("r1", "r2");
            dispatcher.addJob(Samples.job(JOB, Samples.step(1)), Optional.empty(), T0);
            RecordedOrders.Start start = startOne(T0);
            letLeaseExpire();
            RecordedOrders.Renewal afterExpiry = nextRenewalOf(start.to().id(), T0 + 6_000);
            commit(T0 + 6_000);
            assertTrue(orders.starts.isEmpty());
            RunnerReport.EndedRun end = end(1, start.order().task(), 1, EndKind.DONE);
            report(afterExpiry, T0 + 6_500, List.of(), List.of(end));
            commit(T0 + 6_501);
            assertTrue(orders.starts.isEmpty());
            assertEquals(Optional.of(JobStatus.DONE), dispatcher.status(JOB));
        }

        @Test
        void shouldStartTheTaskElsewhereOnceTheRunnerReportsWithoutIt() {
            becomeLeader("r1", "r2");
            dispatcher.addJob(Samples.job(JOB, Samples.step(1)), Optional.empty(), T0);
            RecordedOrders.Start start = startOne(T0);
            letLeaseExpire();
            RecordedOrders.Renewal afterExpiry = nextRenewalOf(start.to().id(), T0 + 6_000);
            report(afterExpiry, T0 + 6_500, List.of(), List.of());
            commit(T0 + 6_501);
            assertEquals(2, orders.starts.get(0).order().run());
        }

        @Test
        void shouldStartTheTaskElsewhereWhenTheListedRunnerStaysSilent() {
            becomeLeader("r1", "r2");
            dispatcher.addJob(Samples.job(JOB, Samples.step(1)), Optional.empty(), T0);
            startOne(T0);
            letLeaseExpire();
            nextRenewal(T0 + 6_000);
            dispatcher.tick(
                    T0 + 6_000 + RunnerMaintenance.REPORT_AFTER_LAPSE_MS,
                    T0 + 6_000 + RunnerMaintenance.REPORT_AFTER_LAPSE_MS,
                    true);
            commit(T0 + 6_001 + RunnerMaintenance.REPORT_AFTER_LAPSE_MS);
            assertEquals(2, orders.starts.get(0).order().run());
        }

        private RecordedOrders.Renewal nextRenewalOf(String runner, long nowMs) {
            orders.renewals.clear();
            dispatcher.tick(nowMs, nowMs, true);
            return orders.renewals.stream()
                    .filter(renewal -> renewal.to().id().equals(runner))
                    .findFirst()
                    .orElseThrow();
        }
    }

    @Nested
    class Starts {

        @Test
        void shouldConfirmARunByALateAnswer() {
            becomeLeader("r1");
            dispatcher.addJob(Samples.job(JOB, Samples.step(1)), Optional.empty(), T0);
            commit(T0);
            RecordedOrders.Start start = orders.starts.remove(0);
            answerStart(start, OrderOutcome.UNANSWERED, T0 + 150);
            answerStart(start, OrderOutcome.ACCEPTED, T0 + 800);
            assertEquals(Optional.of(JobStatus.RUNNING), dispatcher.status(JOB));
            assertTrue(orders.stops.isEmpty());
        }

        @Test
        void shouldRepeatUnansweredStartsWithinABudgetOnly() {
            becomeLeader("r1");
            int tasks = 400;
            dispatcher.addJob(Samples.job(JOB, Samples.smallTasks(tasks)), Optional.empty(), T0);
            commit(T0);
            List<RecordedOrders.Start> firstAttempts = List.copyOf(orders.starts);
            assertEquals(tasks, firstAttempts.size());
            int sent = 0;
            for (int round = 1; round <= 10; round++) {
                long nowMs = T0 + 150 * round;
                List<RecordedOrders.Start> unanswered = List.copyOf(orders.starts);
                sent += unanswered.size();
                orders.starts.clear();
                unanswered.forEach(start -> answerStart(start, OrderOutcome.UNANSWERED, nowMs));
                dispatcher.tick(nowMs, nowMs, true);
            }
            // A fifth of the first attempts, 50 saved repeats, and 20 a second.
            assertTrue(sent <= tasks * 1.2 + 50 + 1.5 * 20, "starts: " + sent);
            // A run is given up after four attempts only.
            assertTrue(orders.stops.size() * 3 <= sent - tasks, "stops: " + orders.stops.size());
            for (RecordedOrders.Start start : firstAttempts) {
                answerStart(start, OrderOutcome.ACCEPTED, T0 + 1_900);
            }
            assertEquals(tasks, listener.started);
        }
    }

    @Nested
    class Restarts {

        private void reportNewIncarnation(
                List<RunnerReport.RunningTask> running, List<RunnerReport.EndedRun> ended, long nowMs) {
            orders.renewals.clear();
            dispatcher.tick(nowMs, nowMs, true);
            RecordedOrders.Renewal renewal = orders.renewals.get(0);
            RunnerReport report = new RunnerReport(100, 2, running, ended);
            dispatcher.onRenewal(
                    renewal.to().id(),
                    renewal.sequence(),
                    new RenewalAnswer(OrderOutcome.ACCEPTED, Optional.of(report)),
                    nowMs + 5);
            commit(nowMs + 6);
        }

        // The order reached an incarnation that the leader does not know yet; its report comes first.
        @Test
        void shouldNotStartARunAgainThatTheNewIncarnationHasAccepted() {
            becomeLeader("r1");
            dispatcher.addJob(Samples.job(JOB, Samples.step(1)), Optional.empty(), T0);
            commit(T0);
            RecordedOrders.Start start = orders.starts.remove(0);
            reportNewIncarnation(List.of(running(start, 1)), List.of(), T0 + 10);
            assertTrue(orders.starts.isEmpty());
            assertEquals(Optional.of(JobStatus.RUNNING), dispatcher.status(JOB));
        }

        @Test
        void shouldNotStartARunAgainThatTheNewIncarnationHasEnded() {
            becomeLeader("r1");
            dispatcher.addJob(Samples.job(JOB, Samples.step(1)), Optional.empty(), T0);
            RecordedOrders.Start start = startOne(T0);
            reportNewIncarnation(List.of(), List.of(end(1, start.order().task(), 1, EndKind.DONE)), T0 + 900);
            assertTrue(orders.starts.isEmpty());
            assertEquals(Optional.of(JobStatus.DONE), dispatcher.status(JOB));
        }

        // The numbers of ends begin anew, so a former acknowledgement would cover ends that were not read.
        @Test
        void shouldAcknowledgeNothingAfterAnUnansweredRenewal() {
            becomeLeader("r1");
            dispatcher.addJob(Samples.job(JOB, Samples.step(2)), Optional.empty(), T0);
            commit(T0);
            RecordedOrders.Start first = orders.starts.get(0);
            answerStart(first, OrderOutcome.ACCEPTED, T0 + 5);
            answerStart(orders.starts.get(1), OrderOutcome.ACCEPTED, T0 + 5);
            List<RunnerReport.EndedRun> ends = List.of(end(7, first.order().task(), 1, EndKind.DONE));
            List<RunnerReport.RunningTask> others = List.of(running(orders.starts.get(1), 40));
            report(nextRenewal(T0 + 10), T0 + 20, others, ends);
            commit(T0 + 30);
            RecordedOrders.Renewal acknowledging = nextRenewal(T0 + 40);
            assertEquals(7, acknowledging.order().acknowledgedSequence());
            leaveUnanswered(acknowledging, T0 + 2_000);
            RecordedOrders.Renewal afterSilence = nextRenewal(T0 + 2_300);
            assertEquals(0, afterSilence.order().acknowledgedSequence());
            report(afterSilence, T0 + 2_310, others, ends);
            commit(T0 + 2_311);
            assertEquals(7, nextRenewal(T0 + 2_320).order().acknowledgedSequence());
        }
    }

    @Nested
    class LeaderLease {

        // A process that was paused may have been replaced as the leader meanwhile.
        @Test
        void shouldStartNothingUntilTheLeaseIsConfirmedAgain() {
            becomeLeader("r1");
            dispatcher.addJob(Samples.job(JOB, Samples.step(1)), Optional.empty(), T0);
            orders.mayStart = false;
            commit(T0);
            dispatcher.tick(T0 + 500, T0 + 500, true);
            assertTrue(orders.starts.isEmpty());
            orders.mayStart = true;
            dispatcher.tick(T0 + 1_000, T0 + 1_000, true);
            assertEquals(1, orders.starts.size());
        }

        @Test
        void shouldRepeatNoStartUntilTheLeaseIsConfirmedAgain() {
            becomeLeader("r1");
            dispatcher.addJob(Samples.job(JOB, Samples.step(1)), Optional.empty(), T0);
            commit(T0);
            RecordedOrders.Start start = orders.starts.remove(0);
            orders.mayStart = false;
            answerStart(start, OrderOutcome.UNANSWERED, T0 + 3_000);
            dispatcher.tick(T0 + 3_500, T0 + 3_500, true);
            assertTrue(orders.starts.isEmpty());
            orders.mayStart = true;
            dispatcher.tick(T0 + 4_000, T0 + 4_000, true);
            assertEquals(1, orders.starts.size());
        }
    }

    @Nested
    class Stalls {

        private RecordedOrders.Start start;

        private void reportProgress(int percent, long runnerClockMs, long receivedAtMs) {
            RecordedOrders.Renewal renewal = nextRenewal(receivedAtMs - 1);
            dispatcher.onRenewal(
                    renewal.to().id(),
                    renewal.sequence(),
                    new RenewalAnswer(
                            OrderOutcome.ACCEPTED,
                            Optional.of(new RunnerReport(
                                    RUNNER_CLOCK_MS + runnerClockMs, 1, List.of(running(start, percent)), List.of()))),
                    receivedAtMs);
            dispatcher.tick(receivedAtMs + 1, receivedAtMs + 1, true);
        }

        @Test
        void shouldNotCountTheDelayOfReportsAsTimeWithoutProgress() {
            becomeLeader("r1");
            dispatcher.addJob(Samples.job(JOB, Samples.step(1)), Optional.empty(), T0);
            start = startOne(T0);
            reportProgress(10, 100, T0 + 150);
            reportProgress(10, 200, T0 + 4_000);
            assertTrue(orders.stops.isEmpty());
        }

        @Test
        void shouldStopATaskWithoutProgressOnTheClockOfItsRunner() {
            becomeLeader("r1");
            dispatcher.addJob(Samples.job(JOB, Samples.step(1)), Optional.empty(), T0);
            start = startOne(T0);
            reportProgress(10, 100, T0 + 150);
            reportProgress(10, 101 + DispatchTiming.MIN_STALL_MS, T0 + 4_000);
            assertEquals(1, orders.stops.size());
        }
    }

    @Nested
    class Congestion {

        @Test
        void shouldNotShortenReportsWhileAnswersAreDelayed() {
            becomeLeader("r1");
            dispatcher.addJob(Samples.job(JOB, Samples.step(1)), Optional.empty(), T0);
            RecordedOrders.Start start = startOne(T0);
            RecordedOrders.Renewal renewal = nextRenewal(T0 + 10);
            leaveUnanswered(renewal, T0 + 400);
            report(nextRenewal(T0 + 700), T0 + 710, List.of(running(start, 10)), List.of());
            orders.congested = true;
            assertEquals(
                    DispatchTiming.REPORT_WAIT_MS, nextRenewal(T0 + 720).order().waitMs());
        }
    }
}
