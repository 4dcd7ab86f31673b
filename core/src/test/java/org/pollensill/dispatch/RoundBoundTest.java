package org.pollensill.dispatch;

import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

import com.sun.management.ThreadMXBean;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.pollensill.job.JobRequest;
import org.pollensill.job.JobSchedule;
import org.pollensill.job.JobStatus;
import org.pollensill.job.PlacementRule;
import org.pollensill.job.ServiceLevel;
import org.pollensill.job.StepSpec;
import org.pollensill.job.TaskName;
import org.pollensill.job.Trait;
import org.pollensill.runner.EndKind;
import org.pollensill.runner.RunnerReport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against accepted jobs whose steps make a turn of the leader's loop grow with all of them: each leader stood in
 * one round until its lease was lost, and the next one loaded the same jobs. The work of a turn is counted in the memory
 * that it allocates, which does not depend on the processor.
 */
class RoundBoundTest extends DispatcherFixture {

    /** Half of the heap of a coordinator. */
    private static final long MAX_TURN_BYTES = 24L << 20;

    private static final long DAY_MS = 24 * 3_600_000L;
    private static final int TURNS = 20;
    private static final String ORDINARY = "ffffffffffffffff";

    private static final ThreadMXBean THREADS = (ThreadMXBean) ManagementFactory.getThreadMXBean();

    private static JobRequest scheduled(
            String id, int occurrences, long firstDueMs, long intervalMs, StepSpec... steps) {
        return new JobRequest(
                id,
                "matches",
                "pad-desk",
                "payload",
                List.of(steps),
                new JobSchedule(firstDueMs, intervalMs, occurrences),
                0,
                Optional.empty());
    }

    private static List<JobRequest> jobs(int count, int occurrences, long intervalMs, StepSpec... steps) {
        List<JobRequest> jobs = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            jobs.add(scheduled("%016x".formatted(i), occurrences, T0 - DAY_MS, intervalMs, steps));
        }
        return jobs;
    }

    private static StepSpec[] chain(int length) {
        StepSpec[] steps = new StepSpec[length];
        for (int i = 0; i < length; i++) {
            steps[i] = i == 0 ? Samples.step(1) : Samples.after(Samples.step(1), i - 1);
        }
        return steps;
    }

    private static StepSpec[] beside(int count) {
        StepSpec[] steps = new StepSpec[count];
        for (int i = 0; i < count; i++) {
            steps[i] = Samples.step(1);
        }
        return steps;
    }

    private static List<JobRequest> atOnce(int count, StepSpec... steps) {
        List<JobRequest> jobs = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            jobs.add(Samples.job("%016x".formatted(i), steps));
        }
        return jobs;
    }

    /** Returns jobs at the limits of what is accepted. */
    static Stream<Arguments> shapes() {
        return Stream.of(
                Arguments.of("overdue occurrences", jobs(4, 8_000, 10_000, Samples.step(1))),
                Arguments.of("occurrences due at once", jobs(1, 10_000, 0, Samples.step(1))),
                Arguments.of("overdue chains", jobs(3, 2_000, 10_000, chain(5))),
                Arguments.of("chains of the most steps", jobs(3, 10, 10_000, chain(1_000))),
                Arguments.of("the most steps", atOnce(30, beside(1_000))),
                Arguments.of("the most tasks", atOnce(40, Samples.step(10_000))),
                Arguments.of("large gangs", atOnce(4, Samples.step(10_000, Trait.GANG))),
                Arguments.of("long-running tasks", atOnce(4, Samples.step(10_000, Trait.RESTART_ALWAYS))));
    }

    private long allocatedBytes() {
        return THREADS.getThreadAllocatedBytes(Thread.currentThread().getId());
    }

    private void assertBounded(String turn, Runnable action) {
        long before = allocatedBytes();
        action.run();
        long bytes = allocatedBytes() - before;
        assertTrue(bytes <= MAX_TURN_BYTES, () -> turn + " allocates " + bytes + " bytes");
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("shapes")
    void shouldBoundEachTurnWhateverIsAccepted(String shape, List<JobRequest> jobs) {
        becomeLeader("r1", "r2");
        for (JobRequest job : jobs) {
            assertBounded("adding a job", () -> dispatcher.addJob(job, Optional.empty(), T0));
        }
        for (int turn = 0; turn < TURNS; turn++) {
            long nowMs = T0 + turn * 50;
            assertBounded("a tick", () -> dispatcher.tick(nowMs, nowMs, true));
            assertBounded("a round", () -> commit(nowMs));
            assertBounded("a search for advice", () -> dispatcher.nextAdvice(nowMs));
        }
        for (JobRequest job : jobs) {
            assertBounded("a cancellation", () -> dispatcher.cancel(job.id(), T0 + 1_000));
        }
        assertBounded("a tick after it", () -> dispatcher.tick(T0 + 1_000, T0 + 1_000, true));
    }

    /** Ends all runs that have been started, and returns the number of ends so far. */
    private long endRuns(long nowMs, long ends, List<TaskName> ended) {
        List<RunnerReport.EndedRun> runs = new ArrayList<>();
        for (RecordedOrders.Start start : orders.starts) {
            runs.add(end(
                    ends + runs.size() + 1, start.order().task(), start.order().run(), EndKind.DONE));
            ended.add(start.order().task());
        }
        orders.starts.clear();
        orders.renewals.clear();
        dispatcher.tick(nowMs, nowMs, true);
        report(orders.renewals.remove(orders.renewals.size() - 1), nowMs, List.of(), runs);
        return ends + runs.size();
    }

    @Test
    void shouldRunEachOccurrenceOnceWhenFewAreOpenAtATime() {
        becomeLeader("r1");
        int occurrences = 700;
        dispatcher.addJob(scheduled(ORDINARY, occurrences, T0 - DAY_MS, 10, chain(2)), Optional.empty(), T0);
        List<TaskName> ended = new ArrayList<>();
        long ends = 0;
        long nowMs = T0;
        for (int i = 0; i < 2_000 && ended.size() < 2 * occurrences; i++) {
            nowMs += 1_000;
            dispatcher.tick(nowMs, nowMs, true);
            commit(nowMs);
            ends = endRuns(nowMs, ends, ended);
        }
        commit(nowMs + 10);
        assertEquals(2 * occurrences, ended.size());
        assertEquals(2 * occurrences, ended.stream().distinct().count());
        assertEquals(Optional.of(JobStatus.DONE), dispatcher.status(ORDINARY));
    }

    /** Returns the most steps, of which none fits on any runner. */
    private static StepSpec[] tooLargeSteps() {
        StepSpec tooLarge = new StepSpec(
                1,
                Samples.CAPACITY.plus(Samples.NEED),
                1_000,
                List.of(),
                Set.of(),
                PlacementRule.ANY,
                ServiceLevel.NONE);
        StepSpec[] steps = new StepSpec[1_000];
        Arrays.fill(steps, tooLarge);
        return steps;
    }

    // Steps beyond those that a round considers must not wait behind a thousand that fit nowhere.
    @Test
    void shouldPlaceAnOrdinaryJobBesideThousandsOfStepsThatFitNowhere() {
        becomeLeader("r1", "r2");
        StepSpec[] steps = tooLargeSteps();
        for (int i = 0; i < 8; i++) {
            dispatcher.addJob(Samples.job("%016x".formatted(i), steps), Optional.empty(), T0);
        }
        commit(T0);
        dispatcher.addJob(Samples.job(ORDINARY, Samples.step(1)), Optional.empty(), T0 + 10);
        commit(T0 + 10);
        assertEquals(1, orders.starts.size());
    }

    @Test
    void shouldReachEachReadyStepInTurn() {
        becomeLeader("r1", "r2");
        StepSpec[] steps = tooLargeSteps();
        steps[999] = Samples.step(1);
        for (int i = 0; i < 8; i++) {
            dispatcher.addJob(Samples.job("%016x".formatted(i), steps), Optional.empty(), T0);
        }
        int rounds = 8_000 / (ReadySteps.MAX_PER_ROUND / 4) + 1;
        for (int i = 0; i < rounds; i++) {
            commit(T0 + i);
        }
        assertEquals(8, orders.starts.size());
    }
}
