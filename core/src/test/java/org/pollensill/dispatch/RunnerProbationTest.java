package org.pollensill.dispatch;

import java.util.Optional;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollensill.job.JobStatus;
import org.pollensill.job.Trait;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** How many tasks a runner gets after repeated failures, and for how long one task can keep others away. */
class RunnerProbationTest {

    private static final long T0 = 100_000;
    private static final long LIMIT_MS = T0 + RunnerHealth.PROBE_LIMIT_MS;

    private final RunnerSelector selector = new RunnerSelector(new InterferenceModel());
    private final RunnerHealth health = new RunnerHealth(new CountingListener());
    private final RunnerState runner = new RunnerState("r1", 1);
    private final TaskState waiting = task("bbbbbbbbbbbbbbbb");
    private TaskState probe;

    @BeforeEach
    void beginWithAProbeOnAFailingRunner() {
        runner.entry = Optional.of(Samples.runner("r1"));
        runner.listed = true;
        runner.fenceConfirmed = true;
        runner.failures = RunnerHealth.QUARANTINE_FAILURES;
        beginProbe();
    }

    private void beginProbe(Trait... traits) {
        probe = task("aaaaaaaaaaaaaaaa", traits);
        probe.placeOn(runner, T0);
        probe.phase = TaskState.Phase.RUNNING;
    }

    private static TaskState task(String job, Trait... traits) {
        return new JobState(Samples.job(job, Samples.step(1, traits)), T0)
                .openSteps()
                .get(0)
                .tasks
                .get(0);
    }

    private void assertUsableFrom(long fromMs) {
        assertEquals(Optional.of(PlacementObstacle.QUARANTINED), selector.obstacle(waiting, runner, fromMs - 1));
        assertEquals(Optional.empty(), selector.obstacle(waiting, runner, fromMs));
    }

    @Nested
    class Limit {

        // The probe neither ends nor reports progress.
        @Test
        void shouldUseTheRunnerAgainAfterTheLimit() {
            assertUsableFrom(LIMIT_MS);
        }

        @Test
        void shouldNotWaitForAPausedTask() {
            runner.remove(probe);
            beginProbe(Trait.FILLS);
            probe.pace = 0;
            assertUsableFrom(LIMIT_MS);
        }

        // The stop has no effect, so the task stays on the runner.
        @Test
        void shouldNotWaitForATaskThatIsBeingStopped() {
            probe.stopping = true;
            assertUsableFrom(LIMIT_MS);
        }

        @Test
        void shouldNotWaitForATaskOfACancelledJob() {
            probe.step.job.status = JobStatus.CANCELLED;
            probe.stopping = true;
            assertUsableFrom(LIMIT_MS);
        }

        @Test
        void shouldNotWaitForATaskWhoseStartIsNotConfirmed() {
            probe.phase = TaskState.Phase.ORDERED;
            assertUsableFrom(LIMIT_MS);
        }

        // Progress of 0 percent shows nothing, however long the task runs.
        @Test
        void shouldNotTakeALongRunningTaskWithoutProgressForASuccess() {
            runner.remove(probe);
            beginProbe(Trait.RESTART_ALWAYS);
            health.onProgress(runner, probe, LIMIT_MS);
            assertEquals(RunnerHealth.QUARANTINE_FAILURES, runner.failures);
            assertUsableFrom(LIMIT_MS);
        }

        @Test
        void shouldUseTheRunnerAtOnceWhenTheProbeHasLeft() {
            probe.release();
            assertEquals(Optional.empty(), selector.obstacle(waiting, runner, T0));
        }
    }

    @Nested
    class OneTaskAtATime {

        @Test
        void shouldKeepOthersAwayFromTheNextProbe() {
            task("cccccccccccccccc").placeOn(runner, LIMIT_MS);
            assertUsableFrom(LIMIT_MS + RunnerHealth.PROBE_LIMIT_MS);
        }

        // The end of the limit is no success: the next failure lengthens the quarantine.
        @Test
        void shouldCountTheFailuresOnAfterTheLimit() {
            task("cccccccccccccccc").placeOn(runner, LIMIT_MS);
            health.onFailure(runner, "cccccccccccccccc", LIMIT_MS);
            assertEquals(RunnerHealth.QUARANTINE_FAILURES + 1, runner.failures);
            assertEquals(LIMIT_MS + 2 * DispatchTiming.QUARANTINE_MS, runner.quarantineEndMs);
        }

        @Test
        void shouldEndTheProbationWhenAProbeMakesProgressAfterTheLimit() {
            probe.percent = 1;
            health.onProgress(runner, probe, LIMIT_MS);
            assertEquals(0, runner.failures);
        }
    }
}
