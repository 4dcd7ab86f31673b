package org.pollensill.dispatch;

import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollensill.job.PlacementRule;
import org.pollensill.job.ServiceLevel;
import org.pollensill.job.StepSpec;
import org.pollensill.job.Trait;
import org.pollensill.runner.RunnerReport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class InterferenceControllerTest {

    private static final long T0 = 100_000;
    private static final long TARGET_MS = 50;
    private static final long NEED_MILLICORES = Samples.NEED.processorsMillicores();

    private final RecordedOrders orders = new RecordedOrders();
    private final InterferenceModel interferenceModel = new InterferenceModel();
    private final JobTable jobs = new JobTable(
            new PendingChanges("progress/", new CountingListener()),
            new StateLimit(Long.MAX_VALUE),
            new CountingListener());
    private final ReportHandler reportHandler = new ReportHandler(
            jobs,
            new PendingChanges("progress/", new CountingListener()),
            new RunnerHealth(new CountingListener()),
            new CountingListener(),
            orders,
            new StepAvailability());
    private boolean hasAlternative;
    private final InterferenceController interferenceController = new InterferenceController(
            orders, reportHandler, interferenceModel, (task, nowMs) -> hasAlternative, new StepAvailability());
    private final RunnerState runner = new RunnerState("r1", 1);
    private final Map<TaskState, Long> reportedMeasurements = new HashMap<>();

    InterferenceControllerTest() {
        runner.entry = Optional.of(Samples.runner("r1"));
    }

    private TaskState running(String job, String image, long targetTailMs, Trait... traits) {
        Set<Trait> set = EnumSet.noneOf(Trait.class);
        set.addAll(List.of(traits));
        StepSpec step = new StepSpec(
                1,
                Samples.NEED,
                1_000,
                List.of(),
                set,
                PlacementRule.ANY,
                new ServiceLevel(Optional.of(image), targetTailMs, 0));
        JobState state = new JobState(Samples.job(job, step), T0);
        TaskState task = state.openSteps().get(0).tasks.get(0);
        task.placeOn(runner, T0);
        task.phase = TaskState.Phase.RUNNING;
        return task;
    }

    private TaskState latencyCritical() {
        return running("aaaaaaaaaaaaaaaa", "critical", TARGET_MS, Trait.RESTART_ALWAYS);
    }

    private TaskState bestEffort(String job, String image) {
        return running(job, image, 0, Trait.FILLS, Trait.CHECKPOINTS);
    }

    /** Trains the model with the slack loss that an image causes when it uses all processors of a runner. */
    private void train(String image, double coefficient) {
        for (int i = 0; i < 400; i++) {
            long nowMs = i * 100L;
            interferenceModel.observe("critical", "training", Map.of(), 3, nowMs);
            interferenceModel.observe("critical", "training", Map.of(image, 0.1), 3 - coefficient * 0.1, nowMs);
        }
    }

    private void report(long nowMs) {
        List<RunnerReport.RunningTask> rows = new java.util.ArrayList<>();
        reportedMeasurements.forEach((task, measurement) ->
                rows.add(new RunnerReport.RunningTask(task.name, task.run, "", 50, measurement)));
        interferenceController.apply(runner, new RunnerReport(nowMs, 1, rows, List.of()), nowMs);
    }

    private void reportFor(long durationMs) {
        for (long nowMs = T0 + 1_300; nowMs <= T0 + 1_300 + durationMs; nowMs += 300) {
            report(nowMs);
        }
    }

    @Nested
    class Paces {

        @Test
        void shouldThrottleOnlyTheInterferingImage() {
            train("interfering", 10);
            train("neutral", 0);
            reportedMeasurements.put(latencyCritical(), 48L);
            TaskState interfering = bestEffort("bbbbbbbbbbbbbbbb", "interfering");
            TaskState neutral = bestEffort("cccccccccccccccc", "neutral");
            reportedMeasurements.put(interfering, NEED_MILLICORES);
            reportedMeasurements.put(neutral, NEED_MILLICORES);
            reportFor(600);
            assertTrue(interfering.pace < TaskState.FULL_PACE, "pace " + interfering.pace);
            assertEquals(TaskState.FULL_PACE, neutral.pace);
        }

        // Nothing else raises the pace of a task whose latency-critical neighbour was preempted or has ended.
        @Test
        void shouldRaiseThePaceWhenTheLastLatencyCriticalTaskHasLeft() {
            train("interfering", 10);
            TaskState critical = latencyCritical();
            reportedMeasurements.put(critical, 100L);
            TaskState interfering = bestEffort("bbbbbbbbbbbbbbbb", "interfering");
            reportedMeasurements.put(interfering, NEED_MILLICORES);
            reportFor(600);
            assertTrue(interfering.pace < TaskState.FULL_PACE, "pace " + interfering.pace);
            critical.release();
            reportedMeasurements.remove(critical);
            report(T0 + 3_000);
            assertEquals(TaskState.FULL_PACE, interfering.pace);
            assertEquals(
                    TaskState.FULL_PACE,
                    orders.throttles.get(orders.throttles.size() - 1).percent());
        }

        // The former leader may have paused the task; taken for unthrottled, it would count as stalled.
        @Test
        void shouldSetThePaceOfATaskThatAFormerLeaderMayHavePaused() {
            train("neutral", 0);
            reportedMeasurements.put(latencyCritical(), 20L);
            TaskState inherited = bestEffort("bbbbbbbbbbbbbbbb", "neutral");
            inherited.paceUnknown = true;
            reportedMeasurements.put(inherited, 0L);
            report(T0 + 1_300);
            assertEquals(1, orders.throttles.size());
            assertEquals(TaskState.FULL_PACE, orders.throttles.get(0).percent());
            report(T0 + 1_600);
            assertEquals(1, orders.throttles.size());
        }

        @Test
        void shouldSetTheUnknownPaceOnARunnerWithoutLatencyCriticalTasks() {
            TaskState inherited = bestEffort("bbbbbbbbbbbbbbbb", "neutral");
            inherited.paceUnknown = true;
            reportedMeasurements.put(inherited, 0L);
            report(T0 + 100);
            assertEquals(
                    List.of(TaskState.FULL_PACE),
                    orders.throttles.stream()
                            .map(RecordedOrders.Throttle::percent)
                            .toList());
        }

        @Test
        void shouldNotThrottleATaskInALightPhase() {
            train("interfering", 5);
            reportedMeasurements.put(latencyCritical(), 30L);
            TaskState inLightPhase = bestEffort("bbbbbbbbbbbbbbbb", "interfering");
            reportedMeasurements.put(inLightPhase, NEED_MILLICORES * 2 / 3);
            reportFor(1_500);
            assertEquals(
                    TaskState.FULL_PACE,
                    inLightPhase.pace,
                    () -> "paces " + orders.throttles + " model " + interferenceModel.encode());
        }

        @Test
        void shouldPauseBestEffortTasksWhenATargetIsMissedForAnUnknownReason() {
            train("neutral", 0);
            reportedMeasurements.put(latencyCritical(), 70L);
            TaskState neutral = bestEffort("bbbbbbbbbbbbbbbb", "neutral");
            reportedMeasurements.put(neutral, NEED_MILLICORES);
            reportFor(0);
            assertEquals(0, neutral.pace);
        }

        @Test
        void shouldRaiseThePaceAgainWhenTheLoadFalls() {
            train("interfering", 10);
            TaskState latencyCritical = latencyCritical();
            TaskState interfering = bestEffort("bbbbbbbbbbbbbbbb", "interfering");
            simulate(latencyCritical, interfering, 10, 1.3, 1_300, 2_500);
            assertTrue(interfering.pace <= 30, "pace " + interfering.pace);
            simulate(latencyCritical, interfering, 10, 4.5, 2_500, 5_000);
            assertEquals(TaskState.FULL_PACE, interfering.pace);
        }
    }

    /** Reports tail latencies that result from an idle slack and the pace of a best-effort task. */
    private void simulate(
            TaskState latencyCritical,
            TaskState bestEffort,
            double coefficient,
            double idleSlack,
            long fromMs,
            long untilMs) {
        for (long afterMs = fromMs; afterMs < untilMs; afterMs += 300) {
            double pace = (double) bestEffort.pace / TaskState.FULL_PACE;
            double slack = Math.max(0.1, idleSlack - coefficient * bestEffort.share(runner) * pace);
            reportedMeasurements.put(latencyCritical, Math.round(TARGET_MS / slack));
            reportedMeasurements.put(bestEffort, Math.round(NEED_MILLICORES * pace));
            report(T0 + afterMs);
        }
    }

    @Nested
    class Evictions {

        @Test
        void shouldEvictAStarvedTaskOnlyWhenAnotherRunnerIsAvailable() {
            train("interfering", 10);
            TaskState latencyCritical = latencyCritical();
            TaskState interfering = bestEffort("bbbbbbbbbbbbbbbb", "interfering");
            simulate(latencyCritical, interfering, 10, 1.3, 1_300, 3_000);
            assertTrue(orders.stops.isEmpty());
            hasAlternative = true;
            simulate(latencyCritical, interfering, 10, 1.3, 3_000, 3_100);
            assertEquals(1, orders.stops.size());
        }
    }
}
