package org.pollensill.batch;

import java.util.List;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollensill.platform.Host;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against evicted tasks that are lost, resumed twice or resumed from a checkpoint that may not exist. */
class EvictionTest {

    private static final String TASK = "j0-1/0";

    private OwnerHarness harness;

    /** Starts a task on the only worker that has reported; the worker then leaves. */
    @BeforeEach
    void startTaskOnLeavingWorker() {
        harness = OwnerHarness.owning(1);
        harness.report(0, 1);
        harness.submit(OwnerHarness.spec("k", "t", 1, 5, 1_000));
        harness.answered(harness.last(WorkerCall.Start.class), WorkerCall.Result.DONE);
        harness.report(0, 1, OwnerHarness.running(TASK, 1));
        harness.owner.updateHosts(
                List.of(OwnerHarness.host(0, 4_000, Host.State.LEAVING), OwnerHarness.host(1, 4_000, Host.State.LIVE)));
        harness.advance(2_000);
    }

    private String checkpointId() {
        return harness.last(WorkerCall.Checkpoint.class).checkpointId();
    }

    private WorkerReport.TaskReport checkpointed(int attempt, String id) {
        return OwnerHarness.entry(TASK, attempt, WorkerReport.State.CHECKPOINTED, id);
    }

    @Nested
    class LostCheckpointAnswer {

        @Test
        void shouldRepeatTheCallWithTheSameCheckpointIdWhenTheTaskStillRuns() {
            String id = checkpointId();
            harness.answered(harness.last(WorkerCall.Checkpoint.class), WorkerCall.Result.UNKNOWN);
            harness.report(0, 1, OwnerHarness.running(TASK, 1));
            harness.advance(2_000);
            assertTrue(harness.calls(WorkerCall.Checkpoint.class).size() > 1);
            assertEquals(id, checkpointId());
            assertEquals(1, harness.starts(TASK));
        }

        @Test
        void shouldResumeOnceFromTheCheckpointWhenAReportListsIt() {
            harness.answered(harness.last(WorkerCall.Checkpoint.class), WorkerCall.Result.UNKNOWN);
            harness.report(1, 1);
            harness.report(0, 1, checkpointed(1, checkpointId()));
            harness.report(0, 1, checkpointed(1, checkpointId()));
            WorkerCall.Start resumed = harness.last(WorkerCall.Start.class);
            assertEquals(2, harness.starts(TASK));
            assertEquals(2, resumed.attempt());
            assertEquals(checkpointId(), resumed.resumeFrom());
        }

        @Test
        void shouldResumeFromTheCheckpointWhenItIsReportedAfterTheLeaseLapsed() {
            // No other worker is listed, so the task stays queued after its lease has lapsed.
            harness.owner.updateHosts(List.of(OwnerHarness.host(0, 4_000, Host.State.LEAVING)));
            harness.advance(60_000);
            assertEquals(TaskState.QUEUED, harness.explain(TASK).state());
            harness.report(0, 1, checkpointed(1, checkpointId()));
            harness.owner.updateHosts(List.of(OwnerHarness.host(1, 4_000, Host.State.LIVE)));
            harness.report(1, 1);
            assertEquals(checkpointId(), harness.last(WorkerCall.Start.class).resumeFrom());
        }

        @Test
        void shouldRestartWithoutCheckpointWhenTheWorkerDiesBeforeReportingIt() {
            harness.report(1, 1);
            // The worker stops reporting; the other one keeps reporting until the lease has lapsed.
            for (int i = 0; i < 80; i++) {
                harness.report(1, 1);
            }
            WorkerCall.Start restarted = harness.last(WorkerCall.Start.class);
            assertEquals(2, restarted.attempt());
            assertEquals("", restarted.resumeFrom());
        }
    }

    @Nested
    class CompletionDuringEviction {

        @Test
        void shouldFinishWhenTheTaskEndedBeforeTheCheckpoint() {
            harness.report(1, 1);
            harness.report(0, 1, OwnerHarness.entry(TASK, 1, WorkerReport.State.FINISHED, ""));
            harness.report(1, 1);
            assertEquals(1, harness.starts(TASK));
            assertEquals(JobState.FINISHED, harness.show("j0-1").state());
        }

        @Test
        void shouldAcknowledgeTheEndOnlyAfterItIsDurable() {
            harness.faults.add(Simulation.CommitFault.REFUSED);
            WorkerReport.TaskReport finished = OwnerHarness.entry(TASK, 1, WorkerReport.State.FINISHED, "");
            harness.execute(harness.owner.report(
                    harness.nowNs, new WorkerReport("w0", harness.nowNs / 1_000_000, 1, List.of(finished), 0)));
            harness.execute(harness.owner.report(
                    harness.nowNs, new WorkerReport("w0", harness.nowNs / 1_000_000, 1, List.of(finished), 0)));
            assertTrue(harness.calls(WorkerCall.Acknowledge.class).isEmpty());
            assertEquals(JobState.ACTIVE, harness.show("j0-1").state());
            harness.advance(2_000);
            harness.report(0, 1, finished);
            assertEquals(1, harness.calls(WorkerCall.Acknowledge.class).size());
        }
    }

    @Nested
    class Takeover {

        private OwnerHarness next;

        @BeforeEach
        void takeOver() {
            next = new OwnerHarness(harness.store, "b", harness.nowNs);
            next.hosts(2, 4_000);
            next.takeOwnership(2, true);
        }

        @Test
        void shouldRequestTheCheckpointWithTheRecordedId() {
            next.report(0, 1, OwnerHarness.running(TASK, 1));
            next.report(0, 2, OwnerHarness.running(TASK, 1));
            assertEquals(checkpointId(), next.last(WorkerCall.Checkpoint.class).checkpointId());
            assertEquals(2, next.last(WorkerCall.Checkpoint.class).epoch());
        }

        @Test
        void shouldResumeFromTheCheckpointRequestedByTheFormerOwner() {
            next.report(1, 2);
            next.report(0, 1, checkpointed(1, checkpointId()));
            assertEquals(1, next.starts(TASK));
            assertEquals(checkpointId(), next.last(WorkerCall.Start.class).resumeFrom());
            assertEquals(2, next.last(WorkerCall.Start.class).attempt());
        }

        @Test
        void shouldNotStartElsewhereWhileAStartFromTheFormerOwnerMayArrive() {
            next.report(1, 2);
            // The worker has not accepted the new epoch yet, so a start from the former owner may still arrive.
            next.report(0, 1);
            assertEquals(0, next.starts(TASK));
            next.report(0, 2);
            assertEquals(1, next.starts(TASK));
        }

        @Test
        void shouldFenceTheFormerOwner() {
            harness.client(new ClientCall.Submit(OwnerHarness.spec("late", "t", 1, 5, 1_000), 0));
            harness.advance(1_000);
            assertTrue(harness.answers.get(harness.answers.size() - 1) instanceof ClientAnswer.Unknown);
            assertTrue(!harness.owner.isActive());
        }
    }
}
