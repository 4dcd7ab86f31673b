package org.pollensill.dispatch;

import java.util.Optional;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollensill.job.JobRequest;
import org.pollensill.job.PlacementRule;
import org.pollensill.job.Trait;
import org.pollensill.runner.RunnerClock;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against a stop of a task while another one of its step is away, though its record says that it runs. */
class StepAvailabilityTest {

    private static final long T0 = 100_000;
    private static final long RUNNER_CLOCK_MS = 5_000;
    private static final String JOB = "aaaaaaaaaaaaaaaa";
    private static final long LAST_PROOF_MS =
            T0 + StepAvailability.DEFAULT_UNAVAILABLE_AFTER_MS - StepAvailability.ORDER_DELAY_MS;

    private final StepAvailability availability = new StepAvailability();
    private final RunnerState runner = new RunnerState("r2", 1);

    private StepState atWork(JobRequest request) {
        JobState job = new JobState(request, T0);
        for (TaskState task : job.openSteps().get(0).tasks) {
            task.placeOn(runner, T0);
            task.phase = TaskState.Phase.RUNNING;
            task.percent = 100;
            task.workProvenAtMs = T0;
        }
        return job.openSteps().get(0);
    }

    @Nested
    class WithOwnLimit {

        private StepState step;

        @BeforeEach
        void begin() {
            step = atWork(Samples.job(JOB, Samples.longRunning(2, Samples.NEED, PlacementRule.ANY)));
            runner.fenceConfirmed = true;
            runner.clock = Optional.of(RunnerClock.of(RUNNER_CLOCK_MS, T0));
        }

        @Test
        void shouldTolerateOneStopWhileAllAreProvenToWork() {
            assertEquals(1, availability.tolerableStops(step, LAST_PROOF_MS));
        }

        // The runs of a runner that does not answer may have ended: stopping more would take the step beyond its limit.
        @Test
        void shouldCountTheTasksOfASilentRunnerAsMissing() {
            runner.unansweredRenewals = 1;
            assertEquals(0, availability.tolerableStops(step, T0));
        }

        // A late answer makes a runner responsive again, and a late loop does not notice a missing one.
        @Test
        void shouldCountTasksWithoutRecentProofAsMissing() {
            assertEquals(0, availability.tolerableStops(step, LAST_PROOF_MS + 1));
        }

        @Test
        void shouldFollowTheTimeThatThePlatformGives() {
            availability.setUnavailableAfterMs(StepAvailability.DEFAULT_UNAVAILABLE_AFTER_MS + 500);
            assertEquals(1, availability.tolerableStops(step, LAST_PROOF_MS + 500));
            assertEquals(0, availability.tolerableStops(step, LAST_PROOF_MS + 501));
        }

        // The first order may have been lost, and the task is still at work.
        @Test
        void shouldNotRepeatAStopOnceAnotherTaskIsMissing() {
            TaskState stopping = step.tasks.get(0);
            stopping.stopping = true;
            assertTrue(availability.mayRepeatStop(stopping, LAST_PROOF_MS));
            assertFalse(availability.mayRepeatStop(stopping, LAST_PROOF_MS + 1));
        }

        // Such a task waits for its next run, so nothing is gained by keeping this one.
        @Test
        void shouldRepeatTheStopOfATaskThatWasNotAtWork() {
            TaskState stopping = step.tasks.get(0);
            stopping.stopping = true;
            stopping.percent = 99;
            assertTrue(availability.mayRepeatStop(stopping, LAST_PROOF_MS + 1));
        }
    }

    @Nested
    class WithoutOwnLimit {

        // After a change of leader no runner has answered yet; without a limit of its own a step still makes room.
        @Test
        void shouldNotCountTheTasksOfASilentRunnerAsMissing() {
            StepState step = atWork(Samples.job(JOB, Samples.step(4, Trait.RESTART_ALWAYS)));
            assertEquals(1, availability.tolerableStops(step, LAST_PROOF_MS + 1));
            step.tasks.get(0).stopping = true;
            assertTrue(availability.mayRepeatStop(step.tasks.get(0), LAST_PROOF_MS + 1));
        }
    }
}
