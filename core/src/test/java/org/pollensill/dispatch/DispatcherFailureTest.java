package org.pollensill.dispatch;

import java.util.EnumSet;
import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollensill.job.JobRecord;
import org.pollensill.job.JobStatus;
import org.pollensill.job.PlacementRule;
import org.pollensill.job.ServiceLevel;
import org.pollensill.job.StepSpec;
import org.pollensill.job.TaskName;
import org.pollensill.job.TaskRecord;
import org.pollensill.job.Trait;
import org.pollensill.runner.EndKind;
import org.pollensill.runner.OrderAnswer;
import org.pollensill.runner.OrderOutcome;
import org.pollensill.runner.RenewalAnswer;
import org.pollensill.runner.RunnerReport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Priorities on a full fleet, failing, unresponsive and draining runners, lost answers. */
class DispatcherFailureTest extends DispatcherFixture {

    @Nested
    class Priorities {

        @Test
        void shouldPreferAJobThatCanMeetItsObjectiveOverALateOne() {
            becomeLeader("r1");
            // The objective of both is 2 x 1,000 + 500 ms.
            dispatcher.addJob(Samples.job("aaaaaaaaaaaaaaaa", Samples.step(4)), Optional.empty(), T0 - 2_000);
            dispatcher.addJob(Samples.job("bbbbbbbbbbbbbbbb", Samples.step(4)), Optional.empty(), T0);
            commit(T0);
            assertEquals(4, orders.starts.size());
            for (RecordedOrders.Start start : orders.starts) {
                assertEquals("bbbbbbbbbbbbbbbb", start.order().task().jobId());
            }
        }

        @Test
        void shouldPreferTheEarlierOfTwoAchievableDeadlines() {
            becomeLeader("r1");
            dispatcher.addJob(Samples.job("bbbbbbbbbbbbbbbb", Samples.step(4)), Optional.empty(), T0);
            dispatcher.addJob(Samples.job("aaaaaaaaaaaaaaaa", Samples.step(4)), Optional.empty(), T0 - 500);
            commit(T0);
            assertEquals("aaaaaaaaaaaaaaaa", orders.starts.get(0).order().task().jobId());
        }
    }

    @Nested
    class LostAnswers {

        @Test
        void shouldShortenReportWaitWhileAnswersAreLost() {
            becomeLeader("r1");
            dispatcher.addJob(Samples.job("aaaaaaaaaaaaaaaa", Samples.step(2)), Optional.empty(), T0);
            commit(T0);
            RecordedOrders.Start lost = orders.starts.remove(0);
            RecordedOrders.Start accepted = orders.starts.remove(0);
            dispatcher.onStart(
                    accepted.order().task(),
                    1,
                    "r1",
                    new OrderAnswer(OrderOutcome.ACCEPTED, Optional.of(RUNNER_CLOCK_MS)),
                    T0);
            dispatcher.onStart(
                    lost.order().task(), 1, "r1", new OrderAnswer(OrderOutcome.UNANSWERED, Optional.empty()), T0 + 350);
            assertEquals(
                    DispatchTiming.SHORT_REPORT_WAIT_MS,
                    nextRenewal(T0 + 360).order().waitMs());
        }
    }

    @Nested
    class InheritedPaces {

        // A stall would quarantine the runner, although it carries out a former leader's order.
        @Test
        void shouldNotCountATaskAsStalledThatAFormerLeaderMayHavePaused() {
            TaskName critical = new TaskName("1111111111111111", 0, 0, 0);
            TaskName paused = new TaskName("2222222222222222", 0, 0, 0);
            StepSpec serving = new StepSpec(
                    1,
                    Samples.NEED,
                    0,
                    List.of(),
                    EnumSet.of(Trait.RESTART_ALWAYS),
                    PlacementRule.ANY,
                    new ServiceLevel(Optional.of("desk"), 50, 0));
            dispatcher.setCatalogue(Samples.catalogue(2));
            inherit(critical, serving);
            inherit(paused, Samples.step(1, Trait.FILLS));
            dispatcher.startOrders();
            dispatcher.updateRunners(List.of(Samples.runner("r1")));
            List<RunnerReport.RunningTask> running = List.of(
                    new RunnerReport.RunningTask(critical, 1, "", 100, 0),
                    new RunnerReport.RunningTask(paused, 1, "", 50, 0));
            for (long nowMs = T0 + 50; nowMs <= T0 + 6_000; nowMs += 500) {
                report(nextRenewal(nowMs), nowMs + 10, running, List.of());
            }
            assertEquals(List.of(), orders.stops);
        }

        private void inherit(TaskName task, StepSpec step) {
            TaskRecord record =
                    new TaskRecord(0, 0, 0, false, 1, 0, "", Optional.of(new TaskRecord.RunnerIncarnation("r1", 1)));
            dispatcher.addJob(
                    Samples.job(task.jobId(), step),
                    Optional.of(new JobRecord(JobStatus.RUNNING, List.of(record))),
                    T0);
        }
    }

    @Nested
    class FailingRunners {

        private long failRun(String job, long nowMs) {
            dispatcher.addJob(Samples.job(job, Samples.step(1)), Optional.empty(), nowMs);
            commit(nowMs);
            RecordedOrders.Start start = orders.starts.remove(0);
            dispatcher.onStart(
                    start.order().task(),
                    start.order().run(),
                    "r1",
                    new OrderAnswer(OrderOutcome.ACCEPTED, Optional.of(RUNNER_CLOCK_MS + nowMs - T0)),
                    nowMs);
            RecordedOrders.Renewal renewal = nextRenewal(nowMs + 1);
            ends++;
            report(
                    renewal,
                    nowMs + 2,
                    longRunning(),
                    List.of(end(ends, start.order().task(), 1, EndKind.FAILED)));
            dispatcher.cancel(job, nowMs + 2);
            commit(nowMs + 3);
            return nowMs + 10;
        }

        private long ends;
        private TaskName longRunning;

        private List<RunnerReport.RunningTask> longRunning() {
            return List.of(new RunnerReport.RunningTask(longRunning, 1, "", 100, 0));
        }

        @Test
        void shouldProbeAQuarantinedRunnerThatStillRunsALongRunningTask() {
            becomeLeader("r1");
            dispatcher.addJob(
                    Samples.job("1111111111111111", Samples.step(1, Trait.RESTART_ALWAYS)), Optional.empty(), T0);
            longRunning = startOne(T0).order().task();
            long nowMs = T0 + 10;
            for (String job : List.of("aaaaaaaaaaaaaaaa", "bbbbbbbbbbbbbbbb", "cccccccccccccccc")) {
                nowMs = failRun(job, nowMs);
            }
            dispatcher.addJob(Samples.job("dddddddddddddddd", Samples.step(2)), Optional.empty(), nowMs);
            commit(nowMs);
            assertTrue(orders.starts.isEmpty());
            commit(nowMs + DispatchTiming.QUARANTINE_MS);
            assertEquals(1, orders.starts.size());
        }
    }

    @Nested
    class UnresponsiveRunners {

        @Test
        void shouldRestartTasksOfARunnerThatStopsAnswering() {
            becomeLeader("r1", "r2");
            dispatcher.addJob(Samples.job("aaaaaaaaaaaaaaaa", Samples.step(1)), Optional.empty(), T0);
            RecordedOrders.Start start = startOne(T0);
            long endMs = T0 + 2 * DispatchTiming.LEASE_MS;
            for (long nowMs = T0 + 10; nowMs < endMs && orders.starts.isEmpty(); nowMs += 50) {
                orders.renewals.clear();
                dispatcher.tick(nowMs, nowMs, true);
                for (RecordedOrders.Renewal renewal : List.copyOf(orders.renewals)) {
                    if (!renewal.to().equals(start.to())) {
                        report(renewal, nowMs, List.of(), List.of());
                        continue;
                    }
                    RenewalAnswer noAnswer = new RenewalAnswer(OrderOutcome.UNANSWERED, Optional.empty());
                    dispatcher.onRenewal(renewal.to().id(), renewal.sequence(), noAnswer, nowMs + 40);
                }
                commit(nowMs + 41);
            }
            assertEquals(1, orders.starts.size());
            assertEquals(2, orders.starts.get(0).order().run());
            assertFalse(orders.starts.get(0).to().id().equals(start.to().id()));
        }
    }

    @Nested
    class Handover {

        @Test
        void shouldRenewLeasesOfRunnersWithTasksAtHandover() {
            becomeLeader("r1", "r2");
            dispatcher.addJob(Samples.job("aaaaaaaaaaaaaaaa", Samples.step(1)), Optional.empty(), T0);
            RecordedOrders.Start start = startOne(T0);
            orders.renewals.clear();
            dispatcher.renewLeases(T0 + 1_000);
            assertEquals(1, orders.renewals.size());
            RecordedOrders.Renewal renewal = orders.renewals.get(0);
            assertEquals(start.to().id(), renewal.to().id());
            assertEquals(0, renewal.order().waitMs());
            // The runner's clock may run 2% slow.
            long leastMs = RUNNER_CLOCK_MS + 980 + DispatchTiming.LEASE_MS;
            assertEquals(Optional.of(leastMs), renewal.order().leaseEndMs());
        }
    }

    @Nested
    class DrainingAndRestarts {

        @Test
        void shouldStartNothingOnADrainingRunner() {
            becomeLeader("r1");
            dispatcher.updateRunners(List.of(Samples.runner("r1", 1, true)));
            dispatcher.addJob(Samples.job("aaaaaaaaaaaaaaaa", Samples.step(1)), Optional.empty(), T0 + 20);
            assertTrue(dispatcher.plan(T0 + 20).isEmpty());
        }

        @Test
        void shouldRestartTasksAtOnceWhenTheirRestartedRunnerReports() {
            becomeLeader("r1", "r2");
            dispatcher.addJob(Samples.job("aaaaaaaaaaaaaaaa", Samples.step(1)), Optional.empty(), T0);
            RecordedOrders.Start start = startOne(T0);
            list(start.to().id(), T0 + 100);
            reportNewIncarnation(start.to().id(), T0 + 110, List.of());
            commit(T0 + 111);
            assertEquals(1, orders.starts.size());
            assertEquals(2, orders.starts.get(0).order().run());
        }

        // The new incarnation knows no fencing token and may have accepted an order of a former leader.
        @Test
        void shouldNotRestartTasksOfARestartedRunnerBeforeItReports() {
            becomeLeader("r1", "r2");
            dispatcher.addJob(Samples.job("aaaaaaaaaaaaaaaa", Samples.step(1)), Optional.empty(), T0);
            RecordedOrders.Start start = startOne(T0);
            report(nextRenewal(T0 + 10), T0 + 20, List.of(running(start, 10)), List.of());
            list(start.to().id(), T0 + 100);
            commit(T0 + 101);
            assertTrue(orders.starts.isEmpty());
            reportNewIncarnation(start.to().id(), T0 + 110, List.of(running(start, 1)));
            commit(T0 + 111);
            assertTrue(orders.starts.isEmpty());
            assertEquals(Optional.of(JobStatus.RUNNING), dispatcher.status("aaaaaaaaaaaaaaaa"));
        }

        private void list(String restarted, long nowMs) {
            String other = restarted.equals("r1") ? "r2" : "r1";
            dispatcher.updateRunners(List.of(Samples.runner(restarted, 2, false), Samples.runner(other)));
            orders.renewals.clear();
            dispatcher.tick(nowMs, nowMs, true);
        }

        private void reportNewIncarnation(String runner, long nowMs, List<RunnerReport.RunningTask> running) {
            RecordedOrders.Renewal renewal = orders.renewals.stream()
                    .filter(sent -> sent.to().id().equals(runner))
                    .findFirst()
                    .orElseThrow();
            RunnerReport report = new RunnerReport(100, 2, running, List.of());
            dispatcher.onRenewal(
                    runner, renewal.sequence(), new RenewalAnswer(OrderOutcome.ACCEPTED, Optional.of(report)), nowMs);
        }

        @Test
        void shouldStopTheTasksOfACancelledJob() {
            becomeLeader("r1");
            dispatcher.addJob(Samples.job("aaaaaaaaaaaaaaaa", Samples.step(1)), Optional.empty(), T0);
            startOne(T0);
            dispatcher.cancel("aaaaaaaaaaaaaaaa", T0 + 10);
            commit(T0 + 10);
            assertEquals(1, orders.stops.size());
            assertEquals(Optional.of(JobStatus.CANCELLED), dispatcher.status("aaaaaaaaaaaaaaaa"));
        }
    }
}
