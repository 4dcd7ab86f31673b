package org.pollensill.dispatch;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollensill.job.JobRecord;
import org.pollensill.job.JobStatus;
import org.pollensill.job.PlacementRule;
import org.pollensill.job.TaskName;
import org.pollensill.job.TaskRecord;
import org.pollensill.worker.Resources;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class WithoutRunMonitorTest extends DispatcherFixture {

    private static final String JOB = "aaaaaaaaaaaaaaaa";
    private static final TaskName TASK = new TaskName(JOB, 0, 0, 0);

    private void addPlacedTask() {
        TaskRecord placed =
                new TaskRecord(0, 0, 0, false, 1, 0, "", Optional.of(new TaskRecord.RunnerIncarnation("r1", 1)));
        dispatcher.addJob(
                Samples.job(JOB, Samples.longRunning(1, Samples.NEED, PlacementRule.ANY)),
                Optional.of(new JobRecord(JobStatus.RUNNING, List.of(placed))),
                T0);
    }

    private void passUntil(long endMs) {
        for (long nowMs = T0; nowMs <= endMs; nowMs += 50) {
            dispatcher.tick(nowMs, nowMs, true);
        }
    }

    @Nested
    class InheritedPlacementsOfASilentRunner {

        @Test
        void shouldBeReportedOnceWithTheTimeForWhichTheyAreKept() {
            addPlacedTask();
            becomeLeader();
            passUntil(T0 + 3_000);
            assertEquals(1, listener.inherited.size());
            InheritedPlacements placements = listener.inherited.get(0);
            assertEquals("r1", placements.runner());
            assertEquals(TASK, placements.firstTask());
            assertTrue(placements.leaseRemainingMs() > 0);
        }

        @Test
        void shouldBeTheCauseForWhichATaskHasNoRun() {
            addPlacedTask();
            becomeLeader();
            passUntil(T0 + 2_000);
            assertEquals(Map.of(WithoutRunCause.INHERITED_LEASE, 1), listener.withoutRunByCause);
            WithoutRun description = listener.withoutRun.get(0);
            assertEquals(TASK, description.task());
            assertEquals("r1", description.runner());
        }
    }

    @Nested
    class WaitingTasks {

        @Test
        void shouldBeCountedWhenTheyFitOnNoRunner() {
            dispatcher.addJob(
                    Samples.job(JOB, Samples.longRunning(1, new Resources(9_000, Samples.MB, 0), PlacementRule.ANY)),
                    Optional.empty(),
                    T0);
            becomeLeader("r1");
            passUntil(T0 + WithoutRunMonitor.MISSING_AFTER_MS - 1_500);
            assertEquals(Map.of(), listener.withoutRunByCause);
            passUntil(T0 + WithoutRunMonitor.MISSING_AFTER_MS + 1_500);
            assertEquals(Map.of(WithoutRunCause.NO_ROOM, 1), listener.withoutRunByCause);
        }
    }
}
