package org.pollensill.dispatch;

import java.util.EnumSet;
import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollensill.job.JobTerms;
import org.pollensill.job.PlacementRule;
import org.pollensill.job.ServiceLevel;
import org.pollensill.job.StepSpec;
import org.pollensill.job.Trait;
import org.pollensill.queue.AdviceTiming;
import org.pollensill.runner.RunnerEntry;
import org.pollensill.worker.Resources;

import static org.junit.jupiter.api.Assertions.assertEquals;

class PlacementObstacleTest {

    private static final long NOW_MS = 100_000;
    private static final String JOB = "aaaaaaaaaaaaaaaa";

    private final RunnerSelector selector = new RunnerSelector(new InterferenceModel());
    private final RunnerState runner = new RunnerState("r1", 1);

    @BeforeEach
    void beginWithAUsableRunner() {
        list(Samples.runner("r1"));
        runner.fenceConfirmed = true;
    }

    private void list(RunnerEntry entry) {
        runner.entry = Optional.of(entry);
        runner.listed = true;
    }

    private static TaskState task(StepSpec spec) {
        return new JobState(Samples.job(JOB, spec), NOW_MS)
                .openSteps()
                .get(0)
                .tasks
                .get(0);
    }

    private static StepSpec needing(Resources need, PlacementRule placement, Trait... traits) {
        EnumSet<Trait> set = EnumSet.noneOf(Trait.class);
        set.addAll(List.of(traits));
        return new StepSpec(2, need, 1_000, List.of(), set, placement, ServiceLevel.NONE);
    }

    private void assertObstacle(PlacementObstacle expected, TaskState task) {
        assertEquals(Optional.of(expected), selector.obstacle(task, runner, NOW_MS));
    }

    @Nested
    class Runner {

        private final TaskState task = task(Samples.step(1));

        @Test
        void shouldFindNoObstacleOnAnEmptyRunner() {
            assertEquals(Optional.empty(), selector.obstacle(task, runner, NOW_MS));
        }

        @Test
        void shouldNameARunnerThatIsNoLongerListed() {
            runner.listed = false;
            assertObstacle(PlacementObstacle.NOT_LISTED, task);
        }

        @Test
        void shouldNameADrainingRunner() {
            list(Samples.runner("r1", 1, true));
            assertObstacle(PlacementObstacle.DRAINING, task);
        }

        @Test
        void shouldNameAnUnconfirmedFence() {
            runner.fenceConfirmed = false;
            assertObstacle(PlacementObstacle.UNRESPONSIVE, task);
        }

        @Test
        void shouldNameAnUnansweredRenewal() {
            runner.unansweredRenewals = 1;
            assertObstacle(PlacementObstacle.UNRESPONSIVE, task);
        }

        @Test
        void shouldNameAQuarantineUntilItEnds() {
            runner.quarantineEndMs = NOW_MS + 1;
            assertObstacle(PlacementObstacle.QUARANTINED, task);
            runner.quarantineEndMs = NOW_MS;
            assertEquals(Optional.empty(), selector.obstacle(task, runner, NOW_MS));
        }

        @Test
        void shouldNameARunnerOnProbation() {
            runner.failures = RunnerHealth.QUARANTINE_FAILURES;
            task(Samples.step(1)).placeOn(runner, NOW_MS);
            assertObstacle(PlacementObstacle.QUARANTINED, task);
        }

        @Test
        void shouldNameABackOffUntilItEnds() {
            runner.backOffEndMs = NOW_MS + 1;
            assertObstacle(PlacementObstacle.BACKED_OFF, task);
            runner.backOffEndMs = NOW_MS;
            assertEquals(Optional.empty(), selector.obstacle(task, runner, NOW_MS));
        }
    }

    @Nested
    class Rules {

        @Test
        void shouldNameAnotherService() {
            TaskState task = task(Samples.step(1));
            task.step.job.service = "other-desk";
            assertObstacle(PlacementObstacle.NO_MATCH, task);
        }

        @Test
        void shouldNameAMissingLabel() {
            PlacementRule labelled = new PlacementRule(Optional.of("missing"), Optional.empty(), 0);
            assertObstacle(PlacementObstacle.NO_MATCH, task(needing(Samples.NEED, labelled)));
        }

        @Test
        void shouldNameAMissingTicket() {
            TaskState task = task(Samples.step(1));
            task.step.job.terms = Optional.of(new JobTerms(0, 1, 1, 0, Optional.of(new AdviceTiming(1, 1, 1_000))));
            assertObstacle(PlacementObstacle.NO_TICKET, task);
        }

        @Test
        void shouldNameTheLimitOfTasksPerRunner() {
            PlacementRule onePerRunner = new PlacementRule(Optional.empty(), Optional.empty(), 1);
            TaskState task = task(needing(Samples.NEED, onePerRunner));
            task.step.tasks.get(1).placeOn(runner, NOW_MS);
            assertObstacle(PlacementObstacle.PER_RUNNER_LIMIT, task);
        }
    }

    @Nested
    class Capacity {

        private final Resources all = Samples.CAPACITY;

        private TaskState needing(long processorsMillicores, long memoryBytes, long accelerators, Trait... traits) {
            return task(PlacementObstacleTest.needing(
                    new Resources(processorsMillicores, memoryBytes, accelerators), PlacementRule.ANY, traits));
        }

        @Test
        void shouldAllowATaskThatFillsTheRunnerExactly() {
            TaskState task = needing(all.processorsMillicores(), all.memoryBytes(), 0);
            assertEquals(Optional.empty(), selector.obstacle(task, runner, NOW_MS));
        }

        @Test
        void shouldNameTooFewProcessorsFirst() {
            assertObstacle(
                    PlacementObstacle.PROCESSORS, needing(all.processorsMillicores() + 1, all.memoryBytes() + 1, 1));
        }

        @Test
        void shouldNameTooLittleMemory() {
            assertObstacle(PlacementObstacle.MEMORY, needing(all.processorsMillicores(), all.memoryBytes() + 1, 1));
        }

        @Test
        void shouldNameTooFewAccelerators() {
            assertObstacle(PlacementObstacle.ACCELERATORS, needing(all.processorsMillicores(), all.memoryBytes(), 1));
        }

        @Test
        void shouldNameTooFewIdleProcessorsForABestEffortTask() {
            needing(all.processorsMillicores(), 0, 0).placeOn(runner, NOW_MS);
            assertObstacle(PlacementObstacle.HEADROOM, needing(1_000, 0, 0, Trait.FILLS));
        }
    }

    @Nested
    class Headroom {

        private final Resources need = new Resources(1_000, 0, 0);

        private TaskState latencyCritical() {
            ServiceLevel level = new ServiceLevel(Optional.of("critical"), 50, 0);
            StepSpec step =
                    new StepSpec(1, need, 0, List.of(), EnumSet.of(Trait.RESTART_ALWAYS), PlacementRule.ANY, level);
            TaskState task = new JobState(Samples.job("cccccccccccccccc", step), NOW_MS)
                    .openSteps()
                    .get(0)
                    .tasks
                    .get(0);
            task.idleSlack = InterferenceModel.SLACK_AT_TARGET;
            task.idleSlackAtMs = NOW_MS;
            return task;
        }

        private TaskState bestEffort() {
            return task(needing(new Resources(6_000, 0, 0), PlacementRule.ANY, Trait.FILLS));
        }

        @Test
        void shouldNameTheSlackOfLatencyCriticalTasks() {
            latencyCritical().placeOn(runner, NOW_MS);
            TaskState waiting = bestEffort();
            assertObstacle(PlacementObstacle.HEADROOM, waiting);
        }
    }

    @Nested
    class Zone {

        private final TaskState task = task(Samples.step(1));

        @Test
        void shouldNameAZoneThatIsBeingEmptied() {
            runner.zoneEvacuated = true;
            assertObstacle(PlacementObstacle.ZONE_EVACUATED, task);
        }

        @Test
        void shouldNameAZoneThatWasJustTakenBack() {
            runner.usableFromMs = NOW_MS + 1;
            assertObstacle(PlacementObstacle.ZONE_RETURNING, task);
            runner.usableFromMs = NOW_MS;
            assertEquals(Optional.empty(), selector.obstacle(task, runner, NOW_MS));
        }

        @Test
        void shouldPreferARunnerThatIsNotCold() {
            RunnerState cold = new RunnerState("r2", 1);
            RunnerEntry usual = Samples.runner("r2");
            cold.entry = Optional.of(new RunnerEntry(
                    usual.id(),
                    usual.service(),
                    usual.address(),
                    usual.zone(),
                    false,
                    0,
                    usual.capacity(),
                    usual.labels(),
                    usual.incarnationStartMs(),
                    5_000));
            cold.listed = true;
            cold.fenceConfirmed = true;
            task(Samples.step(1)).placeOn(cold, NOW_MS);
            assertEquals(Optional.of(runner), selector.choose(task, List.of(cold, runner), Optional.empty(), NOW_MS));
        }
    }
}
