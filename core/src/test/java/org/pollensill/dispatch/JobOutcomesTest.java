package org.pollensill.dispatch;

import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollensill.job.JobStatus;
import org.pollensill.job.PlacementRule;
import org.pollensill.job.TaskName;

import static org.junit.jupiter.api.Assertions.assertEquals;

class JobOutcomesTest {

    private static final long T0 = 100_000;
    private static final String JOB = "aaaaaaaaaaaaaaaa";

    private final CountingListener listener = new CountingListener();
    private final Fleet fleet = new Fleet(InheritedLeases.unrecorded(0));
    private final JobTable jobs =
            new JobTable(new PendingChanges("progress/", listener), new StateLimit(Long.MAX_VALUE), listener);

    JobOutcomesTest() {
        jobs.setCatalogue(Samples.catalogue(2));
        fleet.update(List.of(Samples.runner("r1")));
    }

    private JobState add(int tasks) {
        jobs.add(Samples.job(JOB, Samples.step(tasks)), Optional.empty(), false, fleet, T0);
        return jobs.get(JOB).orElseThrow();
    }

    @Nested
    class Results {

        @Test
        void shouldTellAJobInTimeFromALateOne() {
            JobState job = add(1);
            jobs.finish(job, JobStatus.DONE, job.onlyOccurrence().deadlineMs());
            assertEquals(JobOutcome.Result.IN_TIME, listener.outcomes.get(0).result());
        }

        @Test
        void shouldReportALateJob() {
            JobState job = add(1);
            jobs.finish(job, JobStatus.DONE, job.onlyOccurrence().deadlineMs() + 1);
            assertEquals(JobOutcome.Result.LATE, listener.outcomes.get(0).result());
        }

        @Test
        void shouldReportAJobOnceWhenItsValueIsLost() {
            JobState job = add(1);
            jobs.reportOutcomes(T0 + 3 * job.objectiveMs - 1);
            assertEquals(List.of(), listener.outcomes);
            jobs.reportOutcomes(T0 + 3 * job.objectiveMs + 1_000);
            jobs.reportOutcomes(T0 + 3 * job.objectiveMs + 2_000);
            jobs.finish(job, JobStatus.DONE, T0 + 3 * job.objectiveMs + 3_000);
            assertEquals(1, listener.outcomes.size());
            assertEquals(JobOutcome.Result.EXPIRED, listener.outcomes.get(0).result());
        }

        @Test
        void shouldNotReportALongRunningJob() {
            jobs.add(
                    Samples.job(JOB, Samples.longRunning(1, Samples.NEED, PlacementRule.ANY)),
                    Optional.empty(),
                    false,
                    fleet,
                    T0);
            jobs.finish(jobs.get(JOB).orElseThrow(), JobStatus.CANCELLED, T0 + 1);
            assertEquals(List.of(), listener.outcomes);
        }
    }

    @Nested
    class Sizes {

        @Test
        void shouldNameTheSlowestTaskAndTheWork() {
            JobState job = add(3);
            job.openSteps().get(0).tasks.get(1).placeOn(fleet.get("r1").orElseThrow(), T0 + 700);
            jobs.finish(job, JobStatus.CANCELLED, T0 + 600);
            JobOutcome outcome = listener.outcomes.get(0);
            assertEquals(3 * 2_000 * 1_000, outcome.workMillicoreMs());
            assertEquals(700, outcome.longestWaitMs());
            assertEquals(Optional.of(new TaskName(JOB, 0, 0, 1)), outcome.slowestTask());
        }
    }

    @Nested
    class Blocks {

        @Test
        void shouldMeasureWhatIsFreeAndWhatWaits() {
            fleet.all().forEach(runner -> runner.fenceConfirmed = true);
            add(2);
            CapacityBlocks blocks = CapacityBlocks.measure(fleet.all(), jobs.ready(), T0);
            assertEquals(new CapacityBlocks(8_000, 8_000, 2_000, 4_000, 0), blocks);
        }
    }
}
