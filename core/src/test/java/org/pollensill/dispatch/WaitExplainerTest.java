package org.pollensill.dispatch;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollensill.job.PlacementRule;
import org.pollensill.job.ServiceLevel;
import org.pollensill.job.StepSpec;
import org.pollensill.job.TaskName;
import org.pollensill.job.Trait;
import org.pollensill.runner.EndKind;
import org.pollensill.runner.OrderAnswer;
import org.pollensill.runner.OrderOutcome;
import org.pollensill.runner.RunnerEntry;
import org.pollensill.runner.RunnerReport;
import org.pollensill.worker.Resources;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

class WaitExplainerTest extends DispatcherFixture {

    private static final long EXPLAINED_MS = T0 + WaitExplainer.MIN_WAIT_MS;
    private static final Resources TOO_LARGE =
            new Resources(Samples.CAPACITY.processorsMillicores() + 1, Samples.MB, 0);

    private static StepSpec needing(Resources need, Trait... traits) {
        EnumSet<Trait> set = EnumSet.noneOf(Trait.class);
        set.addAll(List.of(traits));
        return new StepSpec(1, need, 1_000, List.of(), set, PlacementRule.ANY, ServiceLevel.NONE);
    }

    private static RunnerEntry runnerOf(String id, String service, Resources capacity) {
        return new RunnerEntry(id, service, "10.0.0.1:80", "chima-a", false, 2_000, capacity, List.of("a", "r1"), 1, 0);
    }

    private static String jobId(int number) {
        return String.format("%016x", number);
    }

    private void add(String id, long nowMs, StepSpec step) {
        dispatcher.addJob(Samples.job(id, step), Optional.empty(), nowMs);
    }

    private void tick(long nowMs) {
        dispatcher.tick(nowMs, nowMs, true);
    }

    private WaitReport onlyReport() {
        assertEquals(1, listener.waiting.size());
        return listener.waiting.get(0);
    }

    @Nested
    class Reasons {

        @Test
        void shouldDescribeTheTaskThatHasWaitedLongestOfItsStep() {
            becomeLeader("r1");
            add(jobId(1), T0, Samples.step(6));
            commit(T0);
            tick(EXPLAINED_MS);
            WaitReport report = onlyReport();
            assertEquals(new TaskName(jobId(1), 0, 0, 4), report.task());
            assertFalse(report.longRunning());
            assertEquals(WaitExplainer.MIN_WAIT_MS, report.waitedMs());
            assertEquals(2, report.waitingTasks());
            assertEquals(Samples.NEED, report.need());
            assertEquals(Map.of(PlacementObstacle.PROCESSORS, 1), report.runnersByObstacle());
            assertEquals(0, report.fittingRunners());
        }

        @Test
        void shouldCountRunnersWithTooLittleMemory() {
            becomeLeader("r1", "r2");
            add(jobId(1), T0, needing(new Resources(1_000, Samples.CAPACITY.memoryBytes() + 1, 0)));
            commit(T0);
            tick(EXPLAINED_MS);
            assertEquals(Map.of(PlacementObstacle.MEMORY, 2), onlyReport().runnersByObstacle());
        }

        @Test
        void shouldCountRunnersOfOtherServicesBeforeAnyOtherReason() {
            becomeLeader("r1");
            dispatcher.updateRunners(List.of(Samples.runner("r1"), runnerOf("other", "other-desk", Samples.CAPACITY)));
            add(jobId(1), T0, needing(TOO_LARGE));
            commit(T0);
            tick(EXPLAINED_MS);
            WaitReport report = onlyReport();
            assertEquals(
                    Map.of(PlacementObstacle.NO_MATCH, 1, PlacementObstacle.PROCESSORS, 1), report.runnersByObstacle());
            assertEquals(Optional.of(PlacementObstacle.PROCESSORS), report.mainObstacle());
        }

        @Test
        void shouldNotCountRunnersThatAreNoLongerListed() {
            becomeLeader("r1", "r2");
            add(jobId(1), T0, Samples.step(8));
            commit(T0);
            dispatcher.updateRunners(List.of(Samples.runner("r1")));
            add(jobId(2), T0 + 1, needing(TOO_LARGE));
            commit(T0 + 1);
            tick(EXPLAINED_MS + 1);
            assertEquals(Map.of(PlacementObstacle.PROCESSORS, 1), onlyReport().runnersByObstacle());
        }

        @Test
        void shouldCountRunnersThatHaveRoomForOneTaskOfAGang() {
            becomeLeader("r1");
            add(jobId(1), T0, Samples.step(5, Trait.GANG));
            commit(T0);
            tick(EXPLAINED_MS);
            assertEquals(1, onlyReport().fittingRunners());
            assertTrue(onlyReport().runnersByObstacle().isEmpty());
        }

        @Test
        void shouldNotReportASlotAsReservedWithoutDemandOfShortTasks() {
            becomeLeader("r1");
            add(jobId(1), T0, needing(TOO_LARGE, Trait.RESTART_ALWAYS));
            commit(T0);
            tick(EXPLAINED_MS);
            assertTrue(onlyReport().longRunning());
            assertFalse(onlyReport().slotReserved());
        }
    }

    @Nested
    class SlotReservation {

        @Test
        void shouldReportTheOnlyFreeSlotAsReservedForShortTasks() {
            becomeLeader("r1");
            add(jobId(1), T0, Samples.step(5, Trait.RESTART_ALWAYS));
            commit(T0);
            assertEquals(4, orders.starts.size());
            List<RecordedOrders.Start> starts = List.copyOf(orders.starts);
            for (RecordedOrders.Start start : starts) {
                dispatcher.onStart(
                        start.order().task(),
                        1,
                        "r1",
                        new OrderAnswer(OrderOutcome.ACCEPTED, Optional.of(RUNNER_CLOCK_MS)),
                        T0);
            }
            add(jobId(2), T0, needing(TOO_LARGE));
            commit(T0);
            long endMs = EXPLAINED_MS - 100;
            RecordedOrders.Renewal renewal = nextRenewal(T0 + 10);
            List<RunnerReport.RunningTask> running = new ArrayList<>();
            for (RecordedOrders.Start start : starts.subList(1, 4)) {
                running.add(new RunnerReport.RunningTask(start.order().task(), 1, "", 100, 20));
            }
            TaskName ended = starts.get(0).order().task();
            report(renewal, endMs, running, List.of(end(1, ended, 1, EndKind.FAILED)));
            commit(endMs);
            listener.waiting.clear();
            tick(EXPLAINED_MS);
            WaitReport report = listener.waiting.stream()
                    .filter(WaitReport::longRunning)
                    .findFirst()
                    .orElseThrow();
            assertEquals(new TaskName(jobId(1), 0, 0, 4), report.task());
            assertEquals(1, report.fittingRunners());
            assertTrue(report.slotReserved());
        }
    }

    @Nested
    class Headroom {

        @Test
        void shouldLeaveTheCachedHeadroomAsPlacementComputesIt() {
            Fleet fleet = new Fleet(InheritedLeases.unrecorded(T0));
            fleet.update(List.of(Samples.runner("r1")));
            RunnerState runner = fleet.get("r1").orElseThrow();
            runner.fenceConfirmed = true;
            JobTable jobs = new JobTable(
                    new PendingChanges("progress/", new CountingListener()), new StateLimit(Long.MAX_VALUE), listener);
            jobs.add(
                    Samples.job(jobId(1), needing(new Resources(1_000, Samples.MB, 0), Trait.FILLS)),
                    Optional.empty(),
                    false,
                    fleet,
                    T0);
            RunnerSelector selector = new RunnerSelector(new InterferenceModel());
            TaskScheduler scheduler = new TaskScheduler(
                    jobs,
                    fleet,
                    new PendingChanges("progress/", new CountingListener()),
                    selector,
                    null,
                    new CapacityReservations(fleet, selector, listener),
                    listener);
            new WaitExplainer(jobs, fleet, selector, scheduler, listener).tick(EXPLAINED_MS);
            assertEquals(1, onlyReport().fittingRunners());
            assertNull(runner.headroom);
        }
    }

    @Nested
    class Overtaken {

        @Test
        void shouldCountTasksOfOtherStepsPlacedOnMatchingRunners() {
            becomeLeader("r1");
            add(jobId(1), T0, Samples.step(1));
            commit(T0);
            add(jobId(2), T0 + 1, needing(TOO_LARGE));
            commit(T0 + 1);
            add(jobId(3), T0 + 2, Samples.step(3));
            commit(T0 + 2);
            tick(EXPLAINED_MS + 1);
            assertEquals(3, onlyReport().overtaken());
        }

        @Test
        void shouldNotCountTasksOfTheSameStep() {
            becomeLeader("r1");
            add(jobId(1), T0, Samples.step(5));
            commit(T0);
            tick(EXPLAINED_MS);
            assertEquals(0, onlyReport().overtaken());
        }

        @Test
        void shouldNotCountPlacementsOnRunnersWithoutTheLabel() {
            becomeLeader("r1");
            PlacementRule labelled = new PlacementRule(Optional.of("gpu"), Optional.empty(), 0);
            add(jobId(1), T0, new StepSpec(1, Samples.NEED, 1_000, List.of(), Set.of(), labelled, ServiceLevel.NONE));
            add(jobId(2), T0, Samples.step(2));
            commit(T0);
            tick(EXPLAINED_MS);
            assertEquals(0, onlyReport().overtaken());
            assertEquals(Optional.of(PlacementObstacle.NO_MATCH), onlyReport().mainObstacle());
        }
    }

    @Nested
    class Volume {

        @Test
        void shouldReportNothingForATaskThatWaitedLessThanTheMinimum() {
            becomeLeader("r1");
            add(jobId(1), T0, needing(TOO_LARGE));
            commit(T0);
            tick(EXPLAINED_MS - 1);
            assertTrue(listener.waiting.isEmpty());
            assertEquals(0, listener.waitingOther);
        }

        @Test
        void shouldExplainAtMostOneRoundInEachInterval() {
            becomeLeader("r1");
            add(jobId(1), T0, needing(TOO_LARGE));
            commit(T0);
            tick(EXPLAINED_MS);
            tick(EXPLAINED_MS + WaitExplainer.INTERVAL_MS - 1);
            assertEquals(1, listener.waiting.size());
            tick(EXPLAINED_MS + WaitExplainer.INTERVAL_MS);
            assertEquals(2, listener.waiting.size());
        }

        @Test
        void shouldExplainAtMostFiveStepsAtATimeAndTheLongestWaitingFirst() {
            becomeLeader("r1");
            for (int i = 20; i > 0; i--) {
                add(jobId(i), T0 - i, needing(TOO_LARGE));
            }
            commit(T0);
            tick(EXPLAINED_MS);
            assertEquals(WaitExplainer.MAX_STEPS, listener.waiting.size());
            assertEquals(20, listener.waitingOther);
            List<String> explained = new ArrayList<>();
            for (WaitReport report : listener.waiting) {
                explained.add(report.task().jobId());
            }
            assertEquals(List.of(jobId(20), jobId(19), jobId(18), jobId(17), jobId(16)), explained);
        }

        @Test
        void shouldExplainEachWaitingStepInTurn() {
            becomeLeader("r1");
            for (int i = 1; i <= 20; i++) {
                add(jobId(i), T0, needing(TOO_LARGE));
            }
            commit(T0);
            for (int round = 0; round < 4; round++) {
                tick(EXPLAINED_MS + round * WaitExplainer.INTERVAL_MS);
            }
            Set<String> explained = new HashSet<>();
            for (WaitReport report : listener.waiting) {
                explained.add(report.task().jobId());
            }
            assertEquals(20, explained.size());
        }

        @Test
        void shouldLeaveThreeOfFiveStepsToLongRunningOnes() {
            becomeLeader("r1");
            for (int i = 1; i <= 10; i++) {
                add(jobId(i), T0 - 1, needing(TOO_LARGE));
                add(jobId(100 + i), T0, needing(TOO_LARGE, Trait.RESTART_ALWAYS));
            }
            commit(T0);
            tick(EXPLAINED_MS);
            assertEquals(WaitExplainer.MAX_STEPS, listener.waiting.size());
            assertEquals(
                    WaitExplainer.LONG_RUNNING_STEPS,
                    listener.waiting.stream().filter(WaitReport::longRunning).count());
        }

        @Test
        void shouldUseAllFiveStepsForOneKindWhereNoOtherTaskWaits() {
            becomeLeader("r1");
            for (int i = 1; i <= 10; i++) {
                add(jobId(i), T0, needing(TOO_LARGE, Trait.RESTART_ALWAYS));
            }
            commit(T0);
            tick(EXPLAINED_MS);
            assertEquals(WaitExplainer.MAX_STEPS, listener.waiting.size());
        }

        @Test
        void shouldCountWaitingTasksByKind() {
            becomeLeader("r1");
            add(jobId(1), T0, Samples.step(3, Trait.GANG));
            add(jobId(2), T0, needing(TOO_LARGE, Trait.RESTART_ALWAYS));
            add(jobId(3), T0, Samples.step(4));
            commit(T0);
            tick(EXPLAINED_MS);
            assertEquals(1, listener.waitingLongRunning);
            assertEquals(3, listener.waitingOther);
        }

        @Test
        void shouldNotReportTasksOfACancelledJob() {
            becomeLeader("r1");
            add(jobId(1), T0, needing(TOO_LARGE));
            commit(T0);
            dispatcher.cancel(jobId(1), T0 + 1);
            tick(EXPLAINED_MS);
            assertTrue(listener.waiting.isEmpty());
            assertEquals(0, listener.waitingOther);
        }
    }
}
