package org.pollensill.dispatch;

import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollensill.job.JobRecord;
import org.pollensill.job.JobStatus;
import org.pollensill.job.TaskName;
import org.pollensill.job.TaskRecord;
import org.pollensill.job.Trait;
import org.pollensill.runner.EndKind;
import org.pollensill.runner.OrderAnswer;
import org.pollensill.runner.OrderOutcome;
import org.pollensill.runner.RunnerReport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class DispatcherTest extends DispatcherFixture {

    @Nested
    class Takeover {

        @Test
        void shouldNotContactRunnersBeforeJobsAreLoaded() {
            dispatcher.updateRunners(List.of(Samples.runner("r1")));
            dispatcher.tick(T0, T0, true);
            assertTrue(orders.renewals.isEmpty());
            dispatcher.startOrders();
            dispatcher.tick(T0, T0, true);
            assertEquals(1, orders.renewals.size());
        }

        @Test
        void shouldApplyAnEndThatTheFormerLeaderLeftUnacknowledged() {
            TaskRecord placed =
                    new TaskRecord(0, 0, 0, false, 3, 0, "", Optional.of(new TaskRecord.RunnerIncarnation("r1", 1)));
            dispatcher.setCatalogue(Samples.catalogue(2));
            dispatcher.addJob(
                    Samples.job("aaaaaaaaaaaaaaaa", Samples.step(1)),
                    Optional.of(new JobRecord(JobStatus.RUNNING, List.of(placed))),
                    T0);
            dispatcher.startOrders();
            dispatcher.updateRunners(List.of(Samples.runner("r1")));
            RecordedOrders.Renewal renewal = nextRenewal(T0);
            TaskName task = new TaskName("aaaaaaaaaaaaaaaa", 0, 0, 0);
            report(renewal, T0 + 5, List.of(), List.of(end(1, task, 3, EndKind.DONE)));
            commit(T0 + 6);
            assertTrue(orders.starts.isEmpty());
            assertEquals(Optional.of(JobStatus.DONE), dispatcher.status("aaaaaaaaaaaaaaaa"));
        }

        @Test
        void shouldWaitForLeaseExpiryOfAnUnresponsiveRunner() {
            TaskRecord placed =
                    new TaskRecord(0, 0, 0, false, 1, 0, "", Optional.of(new TaskRecord.RunnerIncarnation("gone", 1)));
            dispatcher.addJob(
                    Samples.job("aaaaaaaaaaaaaaaa", Samples.step(1)),
                    Optional.of(new JobRecord(JobStatus.RUNNING, List.of(placed))),
                    T0);
            becomeLeader("r2");
            dispatcher.tick(T0 + DispatchTiming.LEASE_MS - 1, T0, true);
            commit(T0 + DispatchTiming.LEASE_MS - 1);
            assertTrue(orders.starts.isEmpty());
            long leaseExpiredMs = T0 + DispatchTiming.LEASE_MS * 100 / 98 + 2 * DispatchTiming.LEASE_EXPIRY_MARGIN_MS;
            dispatcher.tick(leaseExpiredMs, leaseExpiredMs, true);
            commit(leaseExpiredMs);
            assertEquals(1, orders.starts.size());
            assertEquals(2, orders.starts.get(0).order().run());
        }
    }

    @Nested
    class Starts {

        @Test
        void shouldPersistThePlacementBeforeTheStartIsSent() {
            becomeLeader("r1");
            dispatcher.addJob(Samples.job("aaaaaaaaaaaaaaaa", Samples.step(1)), Optional.empty(), T0);
            Optional<Batch> batch = dispatcher.plan(T0);
            assertTrue(orders.starts.isEmpty());
            assertTrue(batch.get().writes().get(0).value().get().contains("\"r1\""));
            dispatcher.committed(batch.get(), T0);
            assertEquals(1, orders.starts.size());
        }

        @Test
        void shouldNotExpireAPlacementOnAnIdleRunner() {
            becomeLeader("r1");
            long laterMs = T0 + 2 * DispatchTiming.LEASE_MS;
            dispatcher.addJob(Samples.job("aaaaaaaaaaaaaaaa", Samples.step(1)), Optional.empty(), laterMs);
            Optional<Batch> batch = dispatcher.plan(laterMs);
            dispatcher.tick(laterMs + 50, laterMs + 50, true);
            dispatcher.committed(batch.get(), laterMs + 50);
            assertEquals(1, orders.starts.size());
        }

        @Test
        void shouldRepeatTheSameRunAfterALostAnswer() {
            becomeLeader("r1");
            dispatcher.addJob(Samples.job("aaaaaaaaaaaaaaaa", Samples.step(1)), Optional.empty(), T0);
            commit(T0);
            RecordedOrders.Start first = orders.starts.remove(0);
            dispatcher.onStart(
                    first.order().task(),
                    first.order().run(),
                    "r1",
                    new OrderAnswer(OrderOutcome.UNANSWERED, Optional.empty()),
                    T0 + 700);
            assertEquals(1, orders.starts.size());
            assertEquals(first.order().run(), orders.starts.get(0).order().run());
        }

        @Test
        void shouldNotExceedTheCapacityOfARunner() {
            becomeLeader("r1");
            dispatcher.addJob(Samples.job("aaaaaaaaaaaaaaaa", Samples.step(9)), Optional.empty(), T0);
            commit(T0);
            assertEquals(4, orders.starts.size());
        }

        @Test
        void shouldPlaceAllMembersOfAGangOrNone() {
            becomeLeader("r1");
            dispatcher.addJob(Samples.job("aaaaaaaaaaaaaaaa", Samples.step(5, Trait.GANG)), Optional.empty(), T0);
            commit(T0);
            assertTrue(orders.starts.isEmpty());
            dispatcher.addJob(Samples.job("bbbbbbbbbbbbbbbb", Samples.step(4, Trait.GANG)), Optional.empty(), T0);
            commit(T0);
            assertEquals(4, orders.starts.size());
        }

        @Test
        void shouldStartAStepOnlyAfterItsPrecedingSteps() {
            becomeLeader("r1");
            dispatcher.addJob(
                    Samples.job("aaaaaaaaaaaaaaaa", Samples.step(1), Samples.after(Samples.step(1), 0)),
                    Optional.empty(),
                    T0);
            RecordedOrders.Start first = startOne(T0);
            RecordedOrders.Renewal renewal = nextRenewal(T0 + 10);
            report(renewal, T0 + 900, List.of(), List.of(end(1, first.order().task(), 1, EndKind.DONE)));
            commit(T0 + 901);
            assertEquals(1, orders.starts.get(0).order().task().step());
        }
    }

    @Nested
    class Ends {

        @Test
        void shouldAcknowledgeAnEndOnlyAfterItIsDurable() {
            becomeLeader("r1");
            dispatcher.addJob(Samples.job("aaaaaaaaaaaaaaaa", Samples.step(2)), Optional.empty(), T0);
            commit(T0);
            for (RecordedOrders.Start start : orders.starts) {
                dispatcher.onStart(
                        start.order().task(),
                        1,
                        "r1",
                        new OrderAnswer(OrderOutcome.ACCEPTED, Optional.of(RUNNER_CLOCK_MS)),
                        T0);
            }
            RecordedOrders.Renewal renewal = nextRenewal(T0 + 10);
            TaskName done = orders.starts.get(0).order().task();
            TaskName working = orders.starts.get(1).order().task();
            List<RunnerReport.RunningTask> running = List.of(new RunnerReport.RunningTask(working, 1, "", 50, 0));
            report(renewal, T0 + 500, running, List.of(end(1, done, 1, EndKind.DONE)));
            Optional<Batch> batch = dispatcher.plan(T0 + 500);
            long unrecordedMs = T0 + 500 + DispatchTiming.UNRECORDED_RENEWAL_INTERVAL_MS;
            assertEquals(0, nextRenewal(unrecordedMs).order().acknowledgedSequence());
            report(thirdRenewal(unrecordedMs), unrecordedMs, running, List.of(end(1, done, 1, EndKind.DONE)));
            dispatcher.committed(batch.get(), unrecordedMs + 1);
            assertEquals(1, nextRenewal(unrecordedMs + 1).order().acknowledgedSequence());
        }

        private RecordedOrders.Renewal thirdRenewal(long nowMs) {
            return new RecordedOrders.Renewal(
                    new org.pollensill.runner.RunnerAddress("r1", "10.0.0.1:80"),
                    new org.pollensill.runner.RenewalOrder(Optional.empty(), 7, 1, 0, 0),
                    3);
        }

        @Test
        void shouldShowDoneOnlyWhenItIsDurable() {
            becomeLeader("r1");
            dispatcher.addJob(Samples.job("aaaaaaaaaaaaaaaa", Samples.step(1)), Optional.empty(), T0);
            RecordedOrders.Start start = startOne(T0);
            RecordedOrders.Renewal renewal = nextRenewal(T0 + 10);
            report(renewal, T0 + 900, List.of(), List.of(end(1, start.order().task(), 1, EndKind.DONE)));
            Optional<Batch> batch = dispatcher.plan(T0 + 900);
            assertEquals(Optional.of(JobStatus.RUNNING), dispatcher.status("aaaaaaaaaaaaaaaa"));
            dispatcher.committed(batch.get(), T0 + 905);
            assertEquals(Optional.of(JobStatus.DONE), dispatcher.status("aaaaaaaaaaaaaaaa"));
        }

        @Test
        void shouldFailAJobAfterAllAttempts() {
            becomeLeader("r1");
            dispatcher.addJob(Samples.job("aaaaaaaaaaaaaaaa", Samples.step(1)), Optional.empty(), T0);
            RecordedOrders.Start first = startOne(T0);
            report(
                    nextRenewal(T0 + 10),
                    T0 + 100,
                    List.of(),
                    List.of(end(1, first.order().task(), 1, EndKind.FAILED)));
            commit(T0 + 101);
            RecordedOrders.Start second = startOne(T0 + 101 + DispatchTiming.FAILED_RUN_RETRY_DELAY_MS);
            assertEquals(2, second.order().run());
            long laterMs = T0 + 102 + DispatchTiming.FAILED_RUN_RETRY_DELAY_MS;
            report(
                    nextRenewal(laterMs),
                    laterMs + 100,
                    List.of(),
                    List.of(end(2, second.order().task(), 2, EndKind.FAILED)));
            commit(laterMs + 101);
            assertEquals(Optional.of(JobStatus.FAILED), dispatcher.status("aaaaaaaaaaaaaaaa"));
        }

        @Test
        void shouldIgnoreMissingRunInAReportRequestedBeforeTheStartWasConfirmed() {
            becomeLeader("r1");
            dispatcher.addJob(Samples.job("aaaaaaaaaaaaaaaa", Samples.step(2)), Optional.empty(), T0);
            commit(T0);
            RecordedOrders.Start start = orders.starts.get(0);
            RecordedOrders.Start other = orders.starts.get(1);
            accept(start, T0);
            RecordedOrders.Renewal renewal = nextRenewal(T0 + 10);
            accept(other, T0 + 20);
            // The runner created this report before the second start arrived.
            report(
                    renewal,
                    T0 + 25,
                    List.of(new RunnerReport.RunningTask(start.order().task(), 1, "", 1, 0)),
                    List.of());
            commit(T0 + 26);
            assertEquals(2, orders.starts.size());
        }

        private void accept(RecordedOrders.Start start, long nowMs) {
            dispatcher.onStart(
                    start.order().task(),
                    1,
                    "r1",
                    new OrderAnswer(OrderOutcome.ACCEPTED, Optional.of(RUNNER_CLOCK_MS + nowMs - T0)),
                    nowMs);
        }
    }
}
