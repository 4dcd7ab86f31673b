package org.pollensill.dispatch;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollensill.job.PlacementRule;
import org.pollensill.job.ServiceLevel;
import org.pollensill.job.StepSpec;
import org.pollensill.job.Trait;
import org.pollensill.queue.AdviceTiming;
import org.pollensill.queue.QueueCatalogue;
import org.pollensill.queue.QueuePolicy;
import org.pollensill.runner.AdviceAnswer;
import org.pollensill.runner.RunnerEntry;
import org.pollensill.worker.Resources;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** For which runners advice is requested, and which tickets make a request needless. */
class AdviceCandidatesTest {

    private static final long T0 = 100_000;
    private static final long VALID_MS = 3_000;
    private static final int RUNNERS_PER_CALL = 30;
    private static final String JOB = "aaaaaaaaaaaaaaaa";

    /** Needs one accelerator, of which each runner has eight. */
    private static final Resources NEED = new Resources(2_000, 1_000 * Samples.MB, 1);

    private static final Resources CAPACITY = new Resources(8_000, 32_000 * Samples.MB, 8);

    private final JobTable jobs = new JobTable(
            new PendingChanges("progress/", new CountingListener()),
            new StateLimit(Long.MAX_VALUE),
            new CountingListener());
    private final Fleet fleet = new Fleet(InheritedLeases.unrecorded(T0));
    private final AdvicePoller poller = new AdvicePoller(jobs, fleet);
    private final List<RunnerEntry> entries = new ArrayList<>();
    private StepState step;

    @BeforeEach
    void configureAdvice() {
        AdviceTiming timing = new AdviceTiming(20, 2, VALID_MS);
        jobs.setCatalogue(new QueueCatalogue(
                1,
                List.of(new QueuePolicy(
                        "matches", "host", "/matches/", "pad-desk", 0, 2, 2.0, 500, Optional.of(timing)))));
    }

    private RunnerState addRunner(String id, Resources capacity) {
        entries.add(new RunnerEntry(
                id, "pad-desk", "10.0.0.1:80", "chima-a", false, 60_000, capacity, List.of("a", "r1"), 1, 0));
        fleet.update(entries);
        RunnerState runner = fleet.get(id).orElseThrow();
        runner.fenceConfirmed = true;
        return runner;
    }

    private void addStep(int count, int maxPerRunner, Trait... traits) {
        EnumSet<Trait> set = EnumSet.noneOf(Trait.class);
        set.addAll(List.of(traits));
        PlacementRule rule = new PlacementRule(Optional.empty(), Optional.empty(), maxPerRunner);
        StepSpec spec = new StepSpec(count, NEED, 1_000, List.of(), set, rule, ServiceLevel.NONE);
        jobs.add(Samples.job(JOB, spec), Optional.empty(), false, fleet, T0);
        step = jobs.get(JOB).orElseThrow().openSteps().get(0);
    }

    private static TaskState otherTask(Resources need) {
        StepSpec spec = new StepSpec(
                1, need, 1_000, List.of(), EnumSet.noneOf(Trait.class), PlacementRule.ANY, ServiceLevel.NONE);
        return new JobState(Samples.job("bbbbbbbbbbbbbbbb", spec), T0)
                .openSteps()
                .get(0)
                .tasks
                .get(0);
    }

    private Set<String> ask(long nowMs) {
        AdviceRequest request = poller.next(nowMs).orElseThrow();
        Map<String, String> tickets = new HashMap<>();
        request.runnerIds().forEach(id -> tickets.put(id, "ticket"));
        poller.onAnswer(request, new AdviceAnswer.Decided(tickets, VALID_MS), nowMs);
        return tickets.keySet();
    }

    @Nested
    class Order {

        // Forty runners have more idle processors, and their memory is in use.
        @Test
        void shouldAskForRunnersThatCouldTakeATaskFirst() {
            for (int i = 0; i < 40; i++) {
                addRunner("full" + i, CAPACITY).add(otherTask(new Resources(0, CAPACITY.memoryBytes(), 0)));
            }
            addRunner("free", new Resources(2_000, 1_000 * Samples.MB, 1));
            addStep(1, 0);
            assertTrue(ask(T0).contains("free"));
        }

        @Test
        void shouldNotAskForRunnersThatAreTooSmall() {
            addRunner("memory", new Resources(8_000, 999 * Samples.MB, 8));
            addRunner("processors", new Resources(1_999, 32_000 * Samples.MB, 8));
            addRunner("accelerators", new Resources(8_000, 32_000 * Samples.MB, 0));
            addRunner("large", NEED);
            addStep(1, 0);
            assertEquals(Set.of("large"), ask(T0));
        }

        // Tickets are needed on full runners too, since only there tasks can be preempted.
        @Test
        void shouldAskForRunnersWithoutCapacityWhereNoneHasCapacity() {
            addRunner("full", CAPACITY).add(otherTask(CAPACITY));
            addStep(1, 0);
            assertEquals(Set.of("full"), ask(T0));
        }

        // Such requests would delay those for other steps, and nothing is preempted for a best-effort task.
        @Test
        void shouldAskForABestEffortTaskOnlyWhereItCouldRun() {
            addRunner("full", CAPACITY).add(otherTask(new Resources(8_000, 0, 0)));
            addRunner("free", CAPACITY);
            addStep(1, 0, Trait.FILLS);
            assertEquals(Set.of("free"), ask(T0));
        }

        // The first tickets have expired when the next request is due.
        @Test
        void shouldAskForTheOthersBeforeAskingAgainWhereNoneHasCapacity() {
            for (int i = 0; i < 2 * RUNNERS_PER_CALL; i++) {
                addRunner("full" + i, CAPACITY).add(otherTask(CAPACITY));
            }
            addStep(1, 0);
            Set<String> asked = new HashSet<>(ask(T0));
            asked.addAll(ask(T0 + VALID_MS));
            assertEquals(2 * RUNNERS_PER_CALL, asked.size());
        }

        // A runner that was allowed earlier and has capacity again is better than one that may be refused.
        @Test
        void shouldAskAgainForAnAllowedRunnerWithCapacity() {
            addRunner("allowed", NEED);
            for (int i = 0; i < RUNNERS_PER_CALL; i++) {
                addRunner("undecided" + i, CAPACITY);
            }
            addStep(1, 0);
            step.tickets.recordDecision(Map.of("allowed", 1L), Map.of("allowed", "ticket"), T0);
            assertTrue(ask(T0).contains("allowed"));
        }
    }

    @Nested
    class Covering {

        private RunnerState allowed;

        /** Adds a step, a runner with a ticket for it and another one that was not asked about. */
        private void begin(int count, int maxPerRunner, Trait... traits) {
            allowed = addRunner("allowed", CAPACITY);
            addRunner("undecided", CAPACITY);
            addStep(count, maxPerRunner, traits);
            step.tickets.recordDecision(Map.of("allowed", 1L), Map.of("allowed", "ticket"), T0 + VALID_MS);
        }

        private void assertCovered() {
            assertTrue(poller.next(T0).isEmpty());
        }

        private void assertNotCovered() {
            assertEquals(Set.of("undecided"), ask(T0));
        }

        @Test
        void shouldNotAskWhereAllTasksFit() {
            begin(4, 0);
            assertCovered();
        }

        @Test
        void shouldCountProcessors() {
            begin(5, 0);
            assertNotCovered();
        }

        @Test
        void shouldCountMemory() {
            begin(1, 0);
            allowed.add(otherTask(new Resources(0, CAPACITY.memoryBytes() - NEED.memoryBytes() + 1, 0)));
            assertNotCovered();
        }

        @Test
        void shouldCountAccelerators() {
            begin(2, 0);
            allowed.add(otherTask(new Resources(0, 0, 7)));
            assertNotCovered();
        }

        @Test
        void shouldCountTheTasksAllowedPerRunner() {
            begin(3, 2);
            assertNotCovered();
        }

        @Test
        void shouldCountTheTasksOfTheStepOnTheRunner() {
            begin(2, 1);
            step.tasks.get(0).placeOn(allowed, T0);
            assertNotCovered();
        }

        // The reserved capacity is that for the other task; what is left beside it counts.
        @Test
        void shouldNotCountCapacityThatIsReservedForAnotherTask() {
            begin(2, 0);
            allowed.reservedFor = otherTask(new Resources(6_000, 0, 0));
            assertNotCovered();
        }

        @Test
        void shouldCountCapacityBesideTheReservedOne() {
            begin(1, 0);
            allowed.reservedFor = otherTask(new Resources(6_000, 0, 0));
            assertCovered();
        }

        @Test
        void shouldCountCapacityThatIsReservedForATaskOfTheStep() {
            begin(4, 0);
            allowed.reservedFor = step.tasks.get(0);
            assertCovered();
        }

        @Test
        void shouldCountOneTaskOnARunnerOnProbation() {
            begin(2, 0);
            allowed.failures = RunnerHealth.QUARANTINE_FAILURES;
            assertNotCovered();
        }

        @Test
        void shouldNotCountARunnerWithAProbeTask() {
            begin(1, 0);
            allowed.failures = RunnerHealth.QUARANTINE_FAILURES;
            otherTask(Samples.NEED).placeOn(allowed, T0);
            assertNotCovered();
        }

        // Six cores are idle: enough for three tasks of two cores; the fourth would have none.
        @Test
        void shouldCountIdleProcessorsForBestEffortTasks() {
            begin(4, 0, Trait.FILLS);
            allowed.add(otherTask(new Resources(2_000, 0, 0)));
            assertNotCovered();
        }

        @Test
        void shouldCoverBestEffortTasksByIdleProcessors() {
            begin(3, 0, Trait.FILLS);
            allowed.add(otherTask(new Resources(2_000, 0, 0)));
            assertCovered();
        }
    }
}
