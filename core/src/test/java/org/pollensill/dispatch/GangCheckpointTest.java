package org.pollensill.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollensill.job.Trait;
import org.pollensill.runner.EndKind;
import org.pollensill.runner.RunnerReport;

import static org.junit.jupiter.api.Assertions.assertEquals;

class GangCheckpointTest extends DispatcherFixture {

    private static final int MEMBERS = 3;

    private List<RecordedOrders.Start> startGang() {
        becomeLeader("r1");
        dispatcher.addJob(
                Samples.job("aaaaaaaaaaaaaaaa", Samples.step(MEMBERS, Trait.GANG, Trait.CHECKPOINTS)),
                Optional.empty(),
                T0);
        commit(T0);
        List<RecordedOrders.Start> starts = List.copyOf(orders.starts);
        assertEquals(MEMBERS, starts.size());
        orders.starts.clear();
        return starts;
    }

    private static RunnerReport.RunningTask running(RecordedOrders.Start start, String checkpoint, int percent) {
        return new RunnerReport.RunningTask(start.order().task(), 1, checkpoint, percent, 0);
    }

    private List<String> nextCheckpoints(long nowMs) {
        commit(nowMs);
        List<String> checkpoints = new ArrayList<>();
        for (RecordedOrders.Start start : orders.starts) {
            checkpoints.add(start.order().checkpoint());
        }
        return checkpoints;
    }

    @Nested
    class Restart {

        // Guards against members of one run that resume from different points.
        @Test
        void shouldStartAllMembersFromTheFurthestCheckpoint() {
            List<RecordedOrders.Start> starts = startGang();
            report(
                    nextRenewal(T0 + 10),
                    T0 + 10,
                    List.of(
                            running(starts.get(0), "c1", 20),
                            running(starts.get(1), "c2", 40),
                            running(starts.get(2), "", 45)),
                    List.of());
            List<RunnerReport.EndedRun> ends = new ArrayList<>();
            for (int i = 0; i < MEMBERS; i++) {
                ends.add(end(i + 1, starts.get(i).order().task(), 1, EndKind.GANG_BROKEN));
            }
            report(nextRenewal(T0 + 20), T0 + 20, List.of(), ends);
            assertEquals(List.of("c2", "c2", "c2"), nextCheckpoints(T0 + 20));
        }

        @Test
        void shouldUseTheCheckpointThatAnEndBrings() {
            List<RecordedOrders.Start> starts = startGang();
            report(
                    nextRenewal(T0 + 10),
                    T0 + 10,
                    List.of(
                            running(starts.get(0), "c1", 20),
                            running(starts.get(1), "c1", 30),
                            running(starts.get(2), "c1", 25)),
                    List.of());
            List<RunnerReport.EndedRun> ends = new ArrayList<>();
            for (int i = 0; i < MEMBERS; i++) {
                ends.add(new RunnerReport.EndedRun(
                        i + 1, starts.get(i).order().task(), 1, EndKind.STOPPED, i == 1 ? "c3" : ""));
            }
            report(nextRenewal(T0 + 20), T0 + 20, List.of(), ends);
            assertEquals(List.of("c3", "c3", "c3"), nextCheckpoints(T0 + 20));
        }
    }
}
