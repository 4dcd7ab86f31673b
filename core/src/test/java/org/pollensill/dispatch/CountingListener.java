package org.pollensill.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.pollensill.job.JobStatus;
import org.pollensill.job.TaskName;

/** Counts started and lost runs and fenced orders, keeps what is said about waiting tasks and reservations, and ignores all other decisions. */
class CountingListener implements DispatchListener {

    int started;
    int lost;
    int fenced;
    int waitingRounds;
    int waitingLongRunning;
    int waitingOther;
    final List<JobOutcome> outcomes = new ArrayList<>();
    Optional<CapacityBlocks> lastBlocks = Optional.empty();
    final List<WaitReport> waiting = new ArrayList<>();
    final List<TaskName> reserved = new ArrayList<>();
    final List<InheritedPlacements> inherited = new ArrayList<>();
    final List<WithoutRun> withoutRun = new ArrayList<>();
    Map<WithoutRunCause, Integer> withoutRunByCause = Map.of();
    List<ZoneStatus> evacuating = List.of();
    final List<String> deferred = new ArrayList<>();
    final List<String> setAside = new ArrayList<>();

    @Override
    public void placed(TaskName task, int run, String runner, long waitedMs) {}

    @Override
    public void started(TaskName task, int run, String runner) {
        started++;
    }

    @Override
    public void done(TaskName task, int run, String runner) {}

    @Override
    public void lost(RunLoss loss) {
        lost++;
    }

    @Override
    public void unclaimedEnd(UnclaimedEnd end) {}

    @Override
    public void incarnationMismatch(
            TaskName task, int run, String runner, long recordedIncarnationStartMs, long listedIncarnationStartMs) {}

    @Override
    public void statusChanged(String job, JobStatus status) {}

    @Override
    public void outcome(JobOutcome outcome) {
        outcomes.add(outcome);
    }

    @Override
    public void inherited(InheritedPlacements placements) {
        inherited.add(placements);
    }

    @Override
    public void withoutRun(Map<WithoutRunCause, Integer> tasksByCause) {
        withoutRunByCause = Map.copyOf(tasksByCause);
    }

    @Override
    public void withoutRun(WithoutRun description) {
        withoutRun.add(description);
    }

    @Override
    public void preempted(TaskName task, String runner, long ranMs, TaskName beneficiary) {}

    @Override
    public void capacityBlocks(CapacityBlocks blocks) {
        lastBlocks = Optional.of(blocks);
    }

    @Override
    public void capacityReserved(TaskName task, String runner, long withoutRunMs) {
        reserved.add(task);
    }

    @Override
    public void jobSetAside(String job, int rows) {
        setAside.add(job);
    }

    @Override
    public void jobResumed(String job) {
        setAside.remove(job);
    }

    @Override
    public void jobDeferred(String job, int count) {
        deferred.add(job);
    }

    @Override
    public void quarantined(String runner, int failures, long forMs) {}

    @Override
    public void waitingTasks(int longRunning, int other) {
        waitingRounds++;
        waitingLongRunning = longRunning;
        waitingOther = other;
    }

    @Override
    public void waiting(WaitReport report) {
        waiting.add(report);
    }

    @Override
    public void evacuating(List<ZoneStatus> zones) {
        evacuating = List.copyOf(zones);
    }

    @Override
    public void fenced(String runner) {
        fenced++;
    }
}
