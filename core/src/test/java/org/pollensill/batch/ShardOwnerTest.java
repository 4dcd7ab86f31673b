package org.pollensill.batch;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.pollensill.worker.Resources;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against wrong answers to clients, wrong recovery and unfair or invalid placement by a shard's owner. */
class ShardOwnerTest {

    private final OwnerHarness harness = OwnerHarness.owning(3);

    private void reportAll(int workers) {
        for (int i = 0; i < workers; i++) {
            harness.report(i, 1);
        }
    }

    @Nested
    class Commits {

        @ParameterizedTest
        @EnumSource(Simulation.CommitFault.class)
        void shouldCreateOneJobDespiteCommitFault(Simulation.CommitFault fault) {
            harness.faults.add(fault);
            harness.client(new ClientCall.Submit(OwnerHarness.spec("k", "t", 1, 5, 1_000), 0));
            harness.advance(2_000);
            ClientAnswer.Submitted answer =
                    assertInstanceOf(ClientAnswer.Submitted.class, harness.answers.get(harness.answers.size() - 1));
            assertTrue(answer.created());
            Set<String> commitIds = new HashSet<>();
            harness.commits.stream()
                    .filter(commit -> commit.writes().size() > 1)
                    .forEach(commit -> commitIds.add(commit.commitId()));
            assertEquals(1, commitIds.size(), "a commit with an unknown outcome must be retried under its id");
        }

        @Test
        void shouldNotStartTaskBeforePlacementIsDurable() {
            reportAll(3);
            harness.submit(OwnerHarness.spec("first", "t", 1, 5, 1_000));
            int before = harness.calls(WorkerCall.Start.class).size();
            for (int i = 0; i < 100; i++) {
                harness.faults.add(Simulation.CommitFault.REFUSED);
            }
            harness.client(new ClientCall.Submit(OwnerHarness.spec("second", "t", 1, 5, 1_000), 0));
            harness.advance(1_500);
            assertEquals(before, harness.calls(WorkerCall.Start.class).size());
        }
    }

    @Nested
    class Clients {

        @Test
        void shouldCreateOneJobWhenKeyIsSubmittedTwice() {
            ClientAnswer.Submitted first =
                    (ClientAnswer.Submitted) harness.submit(OwnerHarness.spec("k", "t", 2, 5, 1_000));
            ClientAnswer.Submitted second =
                    (ClientAnswer.Submitted) harness.submit(OwnerHarness.spec("k", "t", 2, 5, 1_000));
            assertEquals(first.job().id(), second.job().id());
            assertFalse(second.created());
        }

        @Test
        void shouldRefuseDifferentJobUnderSameKey() {
            harness.submit(OwnerHarness.spec("k", "t", 2, 5, 1_000));
            assertInstanceOf(ClientAnswer.KeyTaken.class, harness.submit(OwnerHarness.spec("k", "t", 3, 5, 1_000)));
        }

        @Test
        void shouldAcknowledgeCancelOnlyWhenNoStartIsInFlight() {
            reportAll(3);
            harness.submit(OwnerHarness.spec("k", "t", 1, 5, 1_000));
            WorkerCall.Start start = harness.last(WorkerCall.Start.class);
            int before = harness.answers.size();
            harness.client(new ClientCall.Cancel("j0-1", "test"));
            harness.advance(1_000);
            assertEquals(before, harness.answers.size(), "the start may still arrive");
            harness.answered(start, WorkerCall.Result.DONE);
            assertInstanceOf(ClientAnswer.Cancelled.class, harness.answers.get(before));
        }

        @Test
        void shouldExplainWhyTaskWaits() {
            harness.submit(OwnerHarness.spec("k", "t", 1, 5, 3_900));
            harness.advance(500);
            assertTrue(
                    harness.explain("j0-1/0").waitsFor().contains("share"),
                    harness.explain("j0-1/0").waitsFor());
        }
    }

    @Nested
    class Sharing {

        @Test
        void shouldKeepTeamWithinQuota() {
            harness.owner.updateSettings(BatchSettings.DEFAULTS.withTeams(
                    Map.of("t", new BatchSettings.Team(new Resources(2_000, 1_000_000, 0), 1))));
            reportAll(3);
            harness.submit(OwnerHarness.spec("k", "t", 5, 5, 1_000));
            assertEquals(2, harness.show("j0-1").placed());
            assertTrue(harness.explain("j0-1/4").waitsFor().contains("quota"));
        }

        @Test
        void shouldShareByWeightWhenTeamsCompete() {
            harness.owner.updateSettings(BatchSettings.DEFAULTS.withTeams(Map.of(
                    "one", new BatchSettings.Team(new Resources(100_000, 1_000_000, 0), 1),
                    "two", new BatchSettings.Team(new Resources(100_000, 1_000_000, 0), 2))));
            harness.submit(OwnerHarness.spec("k1", "one", 20, 5, 1_000));
            harness.submit(OwnerHarness.spec("k2", "two", 20, 5, 1_000));
            reportAll(3);
            // 3 workers with a share of 80% of 4 cores have room for 9 tasks of one core.
            assertEquals(3, harness.show("j0-1").placed());
            assertEquals(6, harness.show("j0-2").placed());
        }

        @Test
        void shouldPreemptForUrgentJob() {
            reportAll(3);
            harness.submit(OwnerHarness.spec("bulk", "t", 9, 5, 1_000));
            harness.calls(WorkerCall.Start.class).forEach(start -> harness.answered(start, WorkerCall.Result.DONE));
            harness.submit(OwnerHarness.spec("flood", "u", 1, 0, 2_000));
            assertEquals(2, harness.calls(WorkerCall.Checkpoint.class).size());
        }

        @Test
        void shouldFailJobThatFitsNoHost() {
            reportAll(3);
            harness.submit(OwnerHarness.spec("huge", "t", 1, 5, 64_000));
            assertEquals(JobState.ACTIVE, harness.show("j0-1").state());
            harness.advance(61_000);
            assertEquals(JobState.FAILED, harness.show("j0-1").state());
            assertTrue(harness.show("j0-1").reason().contains("64000"));
        }

        @Test
        void shouldFailJobThatFailsOnThreeHealthyWorkers() {
            reportAll(3);
            harness.submit(OwnerHarness.spec("broken", "t", 1, 5, 1_000));
            Set<String> workers = new HashSet<>();
            for (int attempt = 1; attempt <= 3; attempt++) {
                String worker = harness.explain("j0-1/0").worker();
                workers.add(worker);
                harness.report(
                        worker.charAt(1) - '0',
                        1,
                        OwnerHarness.entry("j0-1/0", attempt, WorkerReport.State.FAILED, ""));
                for (int round = 0; round < 40 && harness.starts("j0-1/0") == attempt; round++) {
                    harness.advance(500);
                }
            }
            assertEquals(3, workers.size(), "a job must avoid workers on which it failed");
            assertEquals(JobState.FAILED, harness.show("j0-1").state());
            assertEquals(3, harness.starts("j0-1/0"));
        }
    }

    @Nested
    class RecoveryAndSnapshots {

        @Test
        void shouldRebuildSameStateFromSnapshotAndLog() {
            for (int i = 0; i < 30; i++) {
                String padding = "x".repeat(4_000);
                Resources size = new Resources(1_000, 1_000, 0);
                harness.submit(new JobSpec("k" + i, "t", "kind", padding, 5, 5, size, 1, true));
            }
            reportAll(3);
            harness.client(new ClientCall.Cancel("j0-3", "test"));
            harness.advance(1_000);
            for (int i = 30; i < 150; i++) {
                String padding = "x".repeat(4_000);
                Resources size = new Resources(1_000, 1_000, 0);
                harness.submit(new JobSpec("k" + i, "t", "kind", padding, 5, 5, size, 1, true));
            }
            assertEquals(1, harness.store.objects.size(), "only the latest snapshot is kept");
            long snapshotSequence = ShardHead.parse(
                            harness.store.head(OwnerHarness.PATH).orElseThrow().value())
                    .snapshotSequence();
            assertTrue(snapshotSequence > 0);
            assertFalse(harness.store.rows.containsKey(OwnerHarness.PATH.log(snapshotSequence)), "the log is trimmed");
            OwnerHarness next = new OwnerHarness(harness.store, "b", harness.nowNs);
            next.hosts(3, 4_000);
            next.takeOwnership(2, true);
            harness.client(new ClientCall.ListJobs("", 1_000));
            next.client(new ClientCall.ListJobs("", 1_000));
            assertEquals(durablePart(harness), durablePart(next));
        }

        /** Returns the part of the listed jobs that the log determines, without the reasons for waiting. */
        private List<String> durablePart(OwnerHarness source) {
            ClientAnswer.Listed listed = (ClientAnswer.Listed) source.answers.get(source.answers.size() - 1);
            return listed.jobs().stream()
                    .map(job ->
                            job.id() + job.key() + job.state() + job.queued() + "/" + job.placed() + "/" + job.ended())
                    .toList();
        }

        @Test
        void shouldNotRestartTasksOfUnreachableWorkerBeforeFormerOwnersLeasesExpire() {
            harness.report(0, 1);
            harness.submit(OwnerHarness.spec("k", "t", 1, 5, 1_000));
            OwnerHarness next = new OwnerHarness(harness.store, "b", harness.nowNs);
            next.hosts(3, 4_000);
            next.takeOwnership(2, false);
            for (int i = 0; i < 120; i++) {
                next.report(1, 2);
            }
            assertEquals(0, next.starts("j0-1/0"), "the former owner may still renew");
            next.takeOwnership(2, true);
            for (int i = 0; i < 60; i++) {
                next.report(1, 2);
            }
            assertEquals(0, next.starts("j0-1/0"), "a lease of 30 s may still be valid");
            for (int i = 0; i < 6; i++) {
                next.report(1, 2);
            }
            assertEquals(1, next.starts("j0-1/0"));
        }

        @Test
        void shouldAwaitReportsBeforeExpiringLeasesAfterOwnPause() {
            harness.report(0, 1);
            harness.submit(OwnerHarness.spec("k", "t", 1, 5, 1_000));
            harness.report(0, 1, OwnerHarness.running("j0-1/0", 1));
            harness.nowNs += 60_000 * OwnerHarness.MS;
            harness.advance(500);
            harness.report(0, 1, OwnerHarness.entry("j0-1/0", 1, WorkerReport.State.FINISHED, ""));
            assertEquals(JobState.FINISHED, harness.show("j0-1").state());
            assertEquals(1, harness.starts("j0-1/0"));
        }

        @Test
        void shouldAwaitConfirmedStopWhenWorkerRestartsAfterStart() {
            harness.report(0, 1);
            harness.submit(OwnerHarness.spec("k", "t", 1, 5, 1_000));
            // The worker's clock was reset, so the deadline of the start in the old clock no longer bounds its arrival.
            WorkerReport restarted = new WorkerReport("w0", 5, 0, List.of(), 0);
            harness.execute(harness.owner.report(harness.nowNs, restarted));
            harness.report(1, 1);
            harness.advance(5_000);
            harness.execute(harness.owner.report(harness.nowNs, new WorkerReport("w0", 5_005, 1, List.of(), 0)));
            harness.report(1, 1);
            assertEquals(1, harness.starts("j0-1/0"));
            harness.answered(harness.last(WorkerCall.Stop.class), WorkerCall.Result.DONE);
            harness.execute(harness.owner.report(harness.nowNs, new WorkerReport("w0", 5_600, 1, List.of(), 0)));
            harness.report(1, 1);
            assertEquals(2, harness.starts("j0-1/0"));
        }

        @Test
        void shouldOnlyRenewLeasesWhileUnconfirmed() {
            harness.report(0, 1);
            harness.submit(OwnerHarness.spec("k", "t", 1, 5, 1_000));
            harness.report(0, 1, OwnerHarness.running("j0-1/0", 1));
            harness.execute(
                    harness.owner.updateOwnership(harness.nowNs, new Ownership(Ownership.State.UNCONFIRMED, 1, true)));
            int starts = harness.calls(WorkerCall.Start.class).size();
            int renewals = harness.calls(WorkerCall.Renew.class).size();
            harness.submit(OwnerHarness.spec("k2", "t", 1, 5, 1_000));
            harness.advance(10_000);
            assertEquals(starts, harness.calls(WorkerCall.Start.class).size());
            assertTrue(harness.calls(WorkerCall.Renew.class).size() > renewals);
        }
    }
}
