package org.pollensill.dispatch;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollensill.job.PlacementRule;
import org.pollensill.job.ServiceLevel;
import org.pollensill.job.StepSpec;
import org.pollensill.job.TaskName;
import org.pollensill.job.Trait;
import org.pollensill.runner.EndKind;
import org.pollensill.worker.Resources;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against tasks that wait for ever because no single preemption makes room for them. */
class PreemptionClaimsTest {

    private static final long T0 = DispatcherFixture.T0;
    private static final String LONG_RUNNING_JOB = "aaaaaaaaaaaaaaaa";
    private static final String LARGE_JOB = "bbbbbbbbbbbbbbbb";
    private static final String SMALL_JOB = "cccccccccccccccc";
    private static final TaskName LARGE_TASK = new TaskName(LARGE_JOB, 0, 0, 0);
    private static final TaskName SMALL_TASK = new TaskName(SMALL_JOB, 0, 0, 0);
    private static final Resources LARGE = new Resources(6_000, 3_000 * Samples.MB, 0);

    private final RecordedOrders orders = new RecordedOrders();
    private final Dispatcher dispatcher =
            Dispatcher.takeOver(7, InheritedLeases.unrecorded(T0), "progress/", orders, new CountingListener());
    private ScriptedFleet fleet;

    private static StepSpec step(int count, Resources need, Trait... traits) {
        EnumSet<Trait> set = EnumSet.noneOf(Trait.class);
        set.addAll(List.of(traits));
        ServiceLevel severalUnavailable = new ServiceLevel(Optional.empty(), 0, count);
        return new StepSpec(count, need, 1_000, List.of(), set, PlacementRule.ANY, severalUnavailable);
    }

    /** Fills runners of 8 cores with long-running tasks. */
    private void fill(int runners, Resources need) {
        List<String> ids = new ArrayList<>();
        for (int i = 1; i <= runners; i++) {
            ids.add("r" + i);
        }
        dispatcher.setCatalogue(Samples.catalogue(2));
        fleet = new ScriptedFleet(
                dispatcher, orders, ids.stream().map(Samples::runner).toList());
        int count = (int) (runners * need.fitCount(Samples.CAPACITY));
        fleet.addJob(LONG_RUNNING_JOB, step(count, need, Trait.RESTART_ALWAYS), T0);
        fleet.plan(T0);
        fleet.report(T0 + 10);
        assertEquals(List.of(), fleet.waitingTasks(LONG_RUNNING_JOB));
    }

    private long runnersWithStops() {
        return orders.stops.stream().map(stop -> stop.to().id()).distinct().count();
    }

    @Nested
    class LargeTasks {

        @Test
        void shouldStopSeveralTasksOfOneRunnerForALargeTask() {
            fill(3, Samples.NEED);
            fleet.addJob(LARGE_JOB, step(1, LARGE), T0 + 20);
            fleet.commit(T0 + 20);
            assertEquals(3, orders.stops.size());
            assertEquals(1, runnersWithStops());
            fleet.carryOut(T0 + 50);
            fleet.report(T0 + 60);
            fleet.plan(T0 + 70);
            assertTrue(fleet.isRunning(LARGE_TASK));
        }

        @Test
        void shouldLeaveTheFreedCapacityToTheTaskThatCausedThePreemption() {
            fill(3, Samples.NEED);
            fleet.addJob(LARGE_JOB, step(1, LARGE), T0 + 20);
            fleet.commit(T0 + 20);
            // One of three stops has taken effect when smaller tasks arrive.
            fleet.end(orders.stops.get(0).task(), EndKind.STOPPED, T0 + 30);
            fleet.report(T0 + 40);
            fleet.addJob(SMALL_JOB, step(1, Samples.NEED), T0 + 45);
            fleet.commit(T0 + 50);
            fleet.carryOut(T0 + 60);
            fleet.report(T0 + 70);
            fleet.plan(T0 + 80);
            assertTrue(fleet.isRunning(LARGE_TASK));
            fleet.report(T0 + 90);
            fleet.plan(T0 + 100);
            assertTrue(fleet.isRunning(SMALL_TASK));
        }

        @Test
        void shouldMakeRoomForATaskThatLacksMemoryOnly() {
            fill(2, new Resources(1_000, 16_000 * Samples.MB, 0));
            fleet.addJob(LARGE_JOB, step(1, new Resources(500, 20_000 * Samples.MB, 0)), T0 + 20);
            fleet.plan(T0 + 20);
            fleet.report(T0 + 60);
            fleet.plan(T0 + 70);
            assertTrue(fleet.isRunning(LARGE_TASK));
        }

        @Test
        void shouldSpareTasksThatHoldNothingOfWhatIsMissing() {
            fill(1, new Resources(1_000, 16_000 * Samples.MB, 0));
            String other = "dddddddddddddddd";
            fleet.addJob(other, step(3, new Resources(1_500, 0, 0), Trait.RESTART_ALWAYS), T0 + 11);
            fleet.plan(T0 + 11);
            fleet.report(T0 + 15);
            assertEquals(List.of(), fleet.waitingTasks(other));
            fleet.addJob(LARGE_JOB, step(1, new Resources(500, 32_000 * Samples.MB, 0)), T0 + 20);
            fleet.commit(T0 + 20);
            assertEquals(2, orders.stops.size());
            assertTrue(
                    orders.stops.stream().allMatch(stop -> stop.task().jobId().equals(LONG_RUNNING_JOB)));
        }

        // A second claim on the runner could not be fulfilled.
        @Test
        void shouldMakeRoomOnDifferentRunnersForTasksThatMustRunApart() {
            fill(3, Samples.NEED);
            PlacementRule apart = new PlacementRule(Optional.empty(), Optional.empty(), 1);
            StepSpec pair = new StepSpec(
                    2, Samples.NEED, 1_000, List.of(), EnumSet.noneOf(Trait.class), apart, ServiceLevel.NONE);
            fleet.addJob(SMALL_JOB, pair, T0 + 20);
            fleet.commit(T0 + 20);
            assertEquals(2, orders.stops.size());
            assertEquals(2, runnersWithStops());
        }

        @Test
        void shouldStopNothingForATaskThatFitsOnNoEmptyRunner() {
            fill(3, Samples.NEED);
            fleet.addJob(LARGE_JOB, step(1, new Resources(9_000, Samples.MB, 0)), T0 + 20);
            fleet.commit(T0 + 20);
            assertEquals(List.of(), orders.stops);
        }
    }

    @Nested
    class Bounds {

        // Each of many waiting steps stops what it needs, and no more in later rounds while commits take long.
        @Test
        void shouldStopOneTaskForEachWaitingTaskOnce() {
            fill(5, Samples.NEED);
            fleet.addJob(LARGE_JOB, step(1, Samples.NEED), T0 + 20);
            fleet.addJob(SMALL_JOB, step(1, Samples.NEED), T0 + 20);
            fleet.commit(T0 + 20);
            assertEquals(2, orders.stops.size());
            fleet.commit(T0 + 70);
            fleet.commit(T0 + 120);
            assertEquals(2, orders.stops.size());
        }

        @Test
        void shouldLeaveMostLongRunningTasksRunningWhenManyStepsWait() {
            fill(5, Samples.NEED);
            for (int i = 0; i < 30; i++) {
                fleet.addJob("%016x".formatted(i), step(2, Samples.NEED), T0 + 20);
            }
            for (long nowMs = T0 + 20; nowMs < T0 + 520; nowMs += 50) {
                fleet.commit(nowMs);
            }
            // 20 tasks of 2 cores fill 40 cores; a part of three tenths is 6 tasks.
            assertEquals(6, orders.stops.size());
        }

        // The leader's event loop must not go over all runners for each of many waiting steps in one round.
        @Test
        void shouldBoundTheSearchesOfARound() {
            fill(10, Samples.NEED);
            for (int i = 0; i < 8; i++) {
                fleet.addJob("%016x".formatted(i), step(1, Samples.NEED), T0 + 20);
            }
            fleet.commit(T0 + 20);
            assertEquals(Preemptor.MAX_SEARCHES_PER_ROUND, orders.stops.size());
            fleet.commit(T0 + 40);
            fleet.commit(T0 + 60);
            assertEquals(8, orders.stops.size());
        }

        // The queue's objective is 2.5 s for a task of 1 s; completion has value for 7.5 s.
        @Test
        void shouldStopNothingForAJobThatCannotBeDoneInTimeToBeOfValue() {
            fill(3, Samples.NEED);
            fleet.addJob(SMALL_JOB, step(1, Samples.NEED), T0 - 6_200);
            fleet.commit(T0 + 20);
            assertEquals(List.of(), orders.stops);
            fleet.addJob(LARGE_JOB, step(1, Samples.NEED), T0 - 6_000);
            fleet.commit(T0 + 30);
            assertEquals(1, orders.stops.size());
        }

        @Test
        void shouldNotStopATaskThatHasJustStartedAgain() {
            fill(1, Samples.NEED);
            fleet.addJob(SMALL_JOB, step(1, Samples.NEED), T0 + 20);
            fleet.plan(T0 + 20);
            fleet.report(T0 + 30);
            fleet.plan(T0 + 40);
            fleet.endJob(SMALL_JOB, T0 + 1_040);
            fleet.report(T0 + 1_050);
            fleet.plan(T0 + 2_000);
            fleet.plan(T0 + 2_010 + TaskScheduler.SLOT_RESERVATION_MS);
            fleet.report(T0 + 3_015);
            assertEquals(List.of(), fleet.waitingTasks(LONG_RUNNING_JOB));
            List<TaskName> restarted = new ArrayList<>();
            for (int i = 0; i < 4; i++) {
                restarted.add(new TaskName(LONG_RUNNING_JOB, 0, 0, i));
            }
            fleet.addJob(LARGE_JOB, step(1, new Resources(8_000, Samples.MB, 0)), T0 + 3_020);
            fleet.commit(T0 + 3_020);
            assertEquals(List.of(), orders.stops);
            fleet.commit(T0 + 3_020 + Preemptor.MIN_RUN_MS);
            assertEquals(4, orders.stops.size());
            assertTrue(restarted.containsAll(
                    orders.stops.stream().map(RecordedOrders.Stop::task).toList()));
        }

        @Test
        void shouldGiveUpAClaimThatIsNotFulfilled() {
            fill(1, Samples.NEED);
            fleet.addJob(LARGE_JOB, step(1, LARGE), T0 + 20);
            fleet.commit(T0 + 20);
            fleet.end(orders.stops.get(0).task(), EndKind.STOPPED, T0 + 30);
            fleet.report(T0 + 40);
            // The other stops are lost; the room of the first one is withheld for a limited time.
            fleet.addJob(SMALL_JOB, step(1, Samples.NEED), T0 + 1_400);
            fleet.commit(T0 + 1_400);
            assertEquals(List.of(), orders.starts);
            fleet.commit(T0 + 20 + PreemptionClaims.MAX_CLAIM_MS);
            assertEquals(SMALL_TASK, orders.starts.get(0).order().task());
        }
    }

    @Nested
    class Gangs {

        @Test
        void shouldMakeRoomForAllMembersOfAGang() {
            fill(10, Samples.NEED);
            fleet.addJob(LARGE_JOB, step(3, LARGE, Trait.GANG), T0 + 20);
            fleet.commit(T0 + 20);
            assertEquals(9, orders.stops.size());
            fleet.carryOut(T0 + 50);
            fleet.report(T0 + 60);
            fleet.plan(T0 + 70);
            assertEquals(List.of(), fleet.waitingTasks(LARGE_JOB));
        }

        @Test
        void shouldStopNothingForAGangThatFitsOnNoEmptyFleet() {
            fill(3, Samples.NEED);
            fleet.addJob(LARGE_JOB, step(4, LARGE, Trait.GANG), T0 + 20);
            fleet.commit(T0 + 20);
            assertEquals(List.of(), orders.stops);
        }
    }
}
