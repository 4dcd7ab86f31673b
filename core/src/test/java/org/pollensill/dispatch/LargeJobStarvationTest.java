package org.pollensill.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against large jobs that are served far less often than small ones of their kind on a full fleet. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class LargeJobStarvationTest {

    private static final long[] SEEDS = {11, 12, 21, 22};

    /** The users count a group of jobs as starved if it is served less than half as often as all. */
    private static final double MIN_RELATIVE_SHARE = 0.5;

    private final List<JobOutcome> outcomes = new ArrayList<>();
    private final List<String> violations = new ArrayList<>();

    @BeforeAll
    void playDays() {
        for (long seed : SEEDS) {
            FleetSimulation simulation = FullFleetDay.play(seed);
            outcomes.addAll(simulation.outcomes);
            violations.addAll(simulation.promise.violations);
        }
        outcomes.sort(Comparator.comparingLong(JobOutcome::workMillicoreMs));
    }

    @Test
    void shouldServeTheLargestTenthOfAKindOnAFullFleet() {
        assertServedAsOthers(0.9, 1);
    }

    @Test
    void shouldServeTheFifthBelowTheLargestTenthOnAFullFleet() {
        assertServedAsOthers(0.7, 0.9);
    }

    @Test
    void shouldRunLongRunningTasksBesideLargeJobs() {
        assertEquals(List.of(), violations);
    }

    // A successor does not know how long a task has waited under former leaders.
    @Test
    void shouldRunLongRunningTasksAcrossChangesOfTheLeader() {
        List<String> found = new ArrayList<>();
        for (long seed : SEEDS) {
            found.addAll(FullFleetDay.playWithTakeovers(seed).promise.violations);
        }
        assertEquals(List.of(), found);
    }

    private void assertServedAsOthers(double from, double to) {
        List<JobOutcome> group = outcomes.subList((int) (from * outcomes.size()), (int) (to * outcomes.size()));
        double all = servedShare(outcomes);
        double share = servedShare(group);
        assertTrue(share >= MIN_RELATIVE_SHARE * all, "served " + share + " of the group, " + all + " of all");
    }

    private static double servedShare(List<JobOutcome> jobs) {
        int served = 0;
        for (JobOutcome job : jobs) {
            if (job.result() == JobOutcome.Result.IN_TIME || job.result() == JobOutcome.Result.LATE) {
                served++;
            }
        }
        return (double) served / jobs.size();
    }
}
