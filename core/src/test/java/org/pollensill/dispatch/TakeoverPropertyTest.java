package org.pollensill.dispatch;

import java.util.ArrayList;
import java.util.List;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.pollensill.job.JobRequest;
import org.pollensill.json.JsonSyntaxException;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Random interleavings of takeovers, pauses, lost answers, late effects, cut and restarted runners. No task may run
 * twice at a time or after its end was acknowledged, and every job must end once the disturbances are over.
 */
class TakeoverPropertyTest {

    private static final int RUNNERS = 4;
    private static final int JOBS = 8;
    private static final int STEP_MS = 20;
    private static final long TROUBLE_MS = 20_000;
    private static final long QUIET_MS = 40_000;

    private final List<SimulatedLeader> leaders = new ArrayList<>();

    @Property(tries = 150, seed = "20261204")
    void shouldRunNoTaskTwiceAndEndEveryJob(@ForAll @LongRange(min = 0, max = 1_000_000) long seed)
            throws JsonSyntaxException {
        SimulatedWorld world = new SimulatedWorld(seed, RUNNERS);
        List<JobRequest> jobs = new ArrayList<>();
        for (int i = 0; i < JOBS; i++) {
            jobs.add(Samples.job(String.format("%016x", i), Samples.step(3), Samples.after(Samples.step(2), 0)));
        }
        leaders.clear();
        leaders.add(SimulatedLeader.takeOver(world, "c0-", jobs));
        world.setLossShare(world.random().nextDouble() * 0.3);
        long endOfTroubleMs = world.nowMs() + TROUBLE_MS;
        while (world.nowMs() < endOfTroubleMs) {
            disturb(world, jobs);
            advance(world);
        }
        world.setLossShare(0);
        world.heal();
        leaders.forEach(leader -> leader.pauseEndMs = 0);
        long endMs = world.nowMs() + QUIET_MS;
        while (world.nowMs() < endMs && !newest().allDone(jobs)) {
            advance(world);
        }
        assertEquals(List.of(), world.broken, "seed " + seed);
        assertTrue(newest().allDone(jobs), "seed " + seed + ": a job has not ended");
    }

    private SimulatedLeader newest() {
        return leaders.get(leaders.size() - 1);
    }

    private void advance(SimulatedWorld world) {
        for (SimulatedLeader leader : leaders) {
            leader.step(world.listed());
        }
        world.runUntil(world.nowMs() + STEP_MS);
    }

    private void disturb(SimulatedWorld world, List<JobRequest> jobs) throws JsonSyntaxException {
        int dice = world.random().nextInt(1_000);
        String runner = "r" + world.random().nextInt(RUNNERS);
        if (dice < 5) {
            leaders.add(SimulatedLeader.takeOver(world, "c" + leaders.size() + "-", jobs));
        } else if (dice < 12) {
            newest().pauseEndMs = world.nowMs() + world.random().nextInt(6_000);
        } else if (dice < 20) {
            world.cut(runner);
        } else if (dice < 30) {
            world.heal();
        } else if (dice < 33) {
            world.runners.get(runner).restart(world.nowMs());
        }
    }
}
