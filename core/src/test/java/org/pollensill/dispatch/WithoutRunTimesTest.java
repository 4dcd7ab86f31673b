package org.pollensill.dispatch;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.pollensill.json.JsonSyntaxException;

import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against tasks that stay without a run for long after a takeover or a restart of their runner. */
class WithoutRunTimesTest {

    private static final int PLAYS = 150;
    private static final long BOUND_MS = 15_000;

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void shouldStartTasksAgainAfterTakeoversAndRestarts(boolean widened) throws JsonSyntaxException {
        List<Long> afterTakeoverMs = new ArrayList<>();
        List<Long> afterRestartMs = new ArrayList<>();
        for (long seed = 0; seed < PLAYS; seed++) {
            SimulatedCluster cluster = new TakeoverPropertyTest()
                    .run(seed, TakeoverPropertyTest.chains(), widened ? ModelSettings.ALL : ModelSettings.NONE);
            cluster.withoutRun.close(cluster.nowMs());
            afterTakeoverMs.addAll(cluster.withoutRun.afterTakeoverMs);
            afterRestartMs.addAll(cluster.withoutRun.afterRestartMs);
        }
        WithoutRunTimes.Summary takeover = WithoutRunTimes.Summary.of(afterTakeoverMs);
        WithoutRunTimes.Summary restart = WithoutRunTimes.Summary.of(afterRestartMs);
        String figures =
                "without a run, widened " + widened + ": after a takeover " + takeover + ", after a restart " + restart;
        System.out.println(figures);
        assertTrue(takeover.p95Ms() <= BOUND_MS && restart.p95Ms() <= BOUND_MS, figures);
    }
}
