package org.pollensill.dispatch;

import java.util.List;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.pollensill.job.JobRequest;
import org.pollensill.job.PlacementRule;
import org.pollensill.job.TaskName;
import org.pollensill.json.JsonSyntaxException;

import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against a lease of a dead runner that begins anew with each leader, so that its task is not started again. */
class LeaderChainTest {

    private static final int TICK_MS = 20;
    private static final long START_LIMIT_MS = 60_000;

    /** Time without a run for which users count a long-running task as missing: 6 s, and 3 s in which that is seen. */
    private static final long MISSING_AFTER_MS = 9_000;

    /** Longest time without a leader: the lease timeout, a poll of its row, and the delay of the campaign. */
    private static final long MAX_GAP_MS = 3_200;

    private static final long RELEASE_GAP_MS = 100;

    private static final List<JobRequest> JOBS =
            List.of(Samples.job("aaaaaaaaaaaaaaaa", Samples.longRunning(1, Samples.NEED, PlacementRule.ANY)));
    private static final TaskName TASK = new TaskName("aaaaaaaaaaaaaaaa", 0, 0, 0);

    private SimulatedCluster cluster;
    private SimulatedLeader leader;
    private int terms;

    @ParameterizedTest
    @CsvSource({
        "4000, false, false",
        "8000, false, false",
        "30000, false, false",
        "4000, true, false",
        "8000, true, false",
        "30000, true, false",
        "4000, false, true",
        "8000, false, true",
        "30000, false, true",
        "4000, true, true",
        "8000, true, true",
        "30000, true, true",
    })
    void shouldStartTheTaskOfADeadRunnerInTimeWhicheverLeadersFollowEachOther(
            long termMs, boolean listed, boolean released) throws JsonSyntaxException {
        cluster = new SimulatedCluster(termMs, 2, ModelSettings.NONE);
        cluster.setJobs(JOBS);
        takeOver();
        lead(2_000);
        String holder = cluster.runnerOf(TASK).orElseThrow();
        cluster.loseForGood(holder, listed ? START_LIMIT_MS : 0);
        long lostAtMs = cluster.nowMs();
        while (cluster.runnerOf(TASK).isEmpty() && cluster.nowMs() - lostAtMs < START_LIMIT_MS) {
            endTerm(released);
            takeOver();
            lead(termMs);
        }
        long gapMs = cluster.nowMs() - lostAtMs;
        long leaderlessMs = released ? RELEASE_GAP_MS : MAX_GAP_MS;
        assertTrue(
                gapMs <= MISSING_AFTER_MS + (termMs < MISSING_AFTER_MS ? leaderlessMs : 0),
                "started " + gapMs + " ms after the loss, in term " + terms);
        assertTrue(cluster.violations.isEmpty(), cluster.violations.toString());
    }

    private void takeOver() throws JsonSyntaxException {
        terms++;
        leader = SimulatedLeader.takeOver(cluster, "c" + terms + "-", JOBS);
    }

    /** Leads for a time, or until the task is at work after its loss. */
    private void lead(long durationMs) {
        boolean lost = terms > 1;
        long endMs = cluster.nowMs() + durationMs;
        while (cluster.nowMs() < endMs && !(lost && cluster.runnerOf(TASK).isPresent())) {
            step();
        }
    }

    private void step() {
        leader.step();
        cluster.runUntil(cluster.nowMs() + TICK_MS);
    }

    private void endTerm(boolean released) {
        if (released) {
            leader.release();
            while (!leader.released) {
                step();
            }
            cluster.runUntil(cluster.nowMs() + RELEASE_GAP_MS);
            return;
        }
        leader.deposed = true;
        cluster.runUntil(cluster.nowMs() + MAX_GAP_MS);
    }
}
