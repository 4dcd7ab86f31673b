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
import org.pollensill.job.Serving;
import org.pollensill.job.StepSpec;
import org.pollensill.job.Trait;
import org.pollensill.runner.RunnerReport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class SharingTest {

    private static final long T0 = 100_000;
    private static final long TARGET_MS = 50;
    private static final long NEED = Samples.NEED.processorsMillicores();

    private final RecordedOrders orders = new RecordedOrders();
    private final Disturbance disturbance = new Disturbance();
    private final JobTable jobs = new JobTable(new Recorder("progress/"), new QuietListener());
    private final Reports reports = new Reports(
            jobs, new Recorder("progress/"), new RunnerHealth(new QuietListener()), new QuietListener(), orders);
    private boolean otherPlaces;
    private final Sharing sharing = new Sharing(orders, reports, disturbance, (task, nowMs) -> otherPlaces);
    private final RunnerState runner = new RunnerState("r1", 1);
    private final Map<TaskState, Long> figures = new HashMap<>();

    SharingTest() {
        runner.entry = Optional.of(Samples.runner("r1"));
    }

    private TaskState running(String job, String image, long targetMs, Trait... traits) {
        Set<Trait> set = EnumSet.noneOf(Trait.class);
        set.addAll(List.of(traits));
        StepSpec step = new StepSpec(
                1,
                Samples.NEED,
                1_000,
                List.of(),
                set,
                PlacementRule.ANY,
                new Serving(Optional.of(image), targetMs, 0));
        JobState state = new JobState(Samples.job(job, step), T0);
        TaskState task = state.step(0, 0).tasks.get(0);
        task.placeOn(runner, T0);
        task.phase = TaskState.Phase.RUNNING;
        return task;
    }

    private TaskState serving() {
        return running("aaaaaaaaaaaaaaaa", "serving", TARGET_MS, Trait.RESTART_ALWAYS);
    }

    private TaskState filling(String job, String image) {
        return running(job, image, 0, Trait.FILLS, Trait.CHECKPOINTS);
    }

    /** Teaches that a whole runner full of an image lowers the slack by an amount. */
    private void teach(String image, double coefficient) {
        for (int i = 0; i < 400; i++) {
            long nowMs = i * 100L;
            disturbance.observe("serving", "taught", Map.of(), 3, nowMs);
            disturbance.observe("serving", "taught", Map.of(image, 0.1), 3 - coefficient * 0.1, nowMs);
        }
    }

    private void report(long nowMs) {
        List<RunnerReport.RunningTask> rows = new java.util.ArrayList<>();
        figures.forEach((task, figure) -> rows.add(new RunnerReport.RunningTask(task.name, task.run, "", 50, figure)));
        sharing.apply(runner, new RunnerReport(nowMs, 1, rows, List.of()), nowMs);
    }

    private void reportFor(long durationMs) {
        for (long nowMs = T0 + 1_300; nowMs <= T0 + 1_300 + durationMs; nowMs += 300) {
            report(nowMs);
        }
    }

    @Nested
    class Paces {

        @Test
        void shouldSlowTheImageThatDisturbsAndLeaveTheOther() {
            teach("harmful", 10);
            teach("harmless", 0);
            figures.put(serving(), 48L);
            TaskState harmful = filling("bbbbbbbbbbbbbbbb", "harmful");
            TaskState harmless = filling("cccccccccccccccc", "harmless");
            figures.put(harmful, NEED);
            figures.put(harmless, NEED);
            reportFor(600);
            assertTrue(harmful.pace < TaskState.FULL_PACE, "pace " + harmful.pace);
            assertEquals(TaskState.FULL_PACE, harmless.pace);
        }

        @Test
        void shouldLetATaskInALightPhaseWork() {
            teach("harmful", 5);
            figures.put(serving(), 30L);
            TaskState light = filling("bbbbbbbbbbbbbbbb", "harmful");
            figures.put(light, NEED * 2 / 3);
            reportFor(1_500);
            assertEquals(
                    TaskState.FULL_PACE,
                    light.pace,
                    () -> "paces " + orders.paces + " learned " + disturbance.encode());
        }

        @Test
        void shouldRestAllThatFillsWhenATailIsOverItsBoundWithoutAReason() {
            teach("harmless", 0);
            figures.put(serving(), 70L);
            TaskState harmless = filling("bbbbbbbbbbbbbbbb", "harmless");
            figures.put(harmless, NEED);
            reportFor(0);
            assertEquals(0, harmless.pace);
        }

        @Test
        void shouldRaiseThePaceAgainWhenTheLoadFalls() {
            teach("harmful", 10);
            TaskState serving = serving();
            TaskState harmful = filling("bbbbbbbbbbbbbbbb", "harmful");
            play(serving, harmful, 10, 1.3, 1_300, 2_500);
            assertTrue(harmful.pace <= 30, "pace " + harmful.pace);
            play(serving, harmful, 10, 4.5, 2_500, 5_000);
            assertEquals(TaskState.FULL_PACE, harmful.pace);
        }
    }

    /** Reports tails that follow from an idle slack and from the pace of a task that fills. */
    private void play(
            TaskState serving, TaskState filling, double coefficient, double idleSlack, long fromMs, long untilMs) {
        for (long afterMs = fromMs; afterMs < untilMs; afterMs += 300) {
            double pace = (double) filling.pace / TaskState.FULL_PACE;
            double slack = Math.max(0.1, idleSlack - coefficient * filling.share(runner) * pace);
            figures.put(serving, Math.round(TARGET_MS / slack));
            figures.put(filling, Math.round(NEED * pace));
            report(T0 + afterMs);
        }
    }

    @Nested
    class Moves {

        @Test
        void shouldMoveATaskThatHardlyWorksOnlyWhereThereIsABetterPlace() {
            teach("harmful", 10);
            TaskState serving = serving();
            TaskState harmful = filling("bbbbbbbbbbbbbbbb", "harmful");
            play(serving, harmful, 10, 1.3, 1_300, 3_000);
            assertTrue(orders.stops.isEmpty());
            otherPlaces = true;
            play(serving, harmful, 10, 1.3, 3_000, 3_100);
            assertEquals(1, orders.stops.size());
        }
    }
}
