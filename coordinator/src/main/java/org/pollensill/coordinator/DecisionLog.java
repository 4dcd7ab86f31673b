package org.pollensill.coordinator;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.pollensill.dispatch.CapacityBlocks;
import org.pollensill.dispatch.DispatchListener;
import org.pollensill.dispatch.InheritedPlacements;
import org.pollensill.dispatch.JobOutcome;
import org.pollensill.dispatch.PlacementObstacle;
import org.pollensill.dispatch.RunLoss;
import org.pollensill.dispatch.UnclaimedEnd;
import org.pollensill.dispatch.WaitReport;
import org.pollensill.dispatch.WithoutRun;
import org.pollensill.dispatch.WithoutRunCause;
import org.pollensill.dispatch.ZoneStatus;
import org.pollensill.job.JobStatus;
import org.pollensill.job.TaskName;
import org.pollensill.runtime.event.EventLog;

/** Records the dispatcher's decisions as log events and metrics. */
final class DecisionLog implements DispatchListener {

    private static final EventLog LOG = EventLog.of(DecisionLog.class);

    private final Runnable onFenced;
    private final CoordinatorMetrics metrics;

    DecisionLog(CoordinatorMetrics metrics, Runnable onFenced) {
        this.metrics = metrics;
        this.onFenced = onFenced;
    }

    @Override
    public void placed(TaskName task, int run, String runner, long waitedMs) {
        metrics.placed(waitedMs);
        LOG.log(CoordinatorEvent.TASK_PLACED, "task", task, "run", run, "runner", runner, "waitedMs", waitedMs);
    }

    @Override
    public void started(TaskName task, int run, String runner) {
        LOG.log(CoordinatorEvent.TASK_STARTED, "task", task, "run", run, "runner", runner);
    }

    @Override
    public void done(TaskName task, int run, String runner) {
        metrics.taskDone();
        LOG.log(CoordinatorEvent.TASK_DONE, "task", task, "run", run, "runner", runner);
    }

    @Override
    public void lost(RunLoss loss) {
        metrics.runLost(loss.cause());
        LOG.log(
                CoordinatorEvent.RUN_LOST,
                "task",
                loss.task(),
                "run",
                loss.run(),
                "runner",
                loss.runner(),
                "cause",
                loss.cause(),
                "released",
                loss.released(),
                "placedIncarnationStartMs",
                loss.placedIncarnationStartMs(),
                "incarnationStartMs",
                loss.incarnationStartMs(),
                "confirmedAtRenewal",
                loss.confirmedAtRenewal(),
                "reportedRenewal",
                loss.reportedRenewal(),
                "sentRenewal",
                loss.sentRenewal(),
                "leaseRemainingMs",
                loss.leaseRemainingMs());
    }

    @Override
    public void unclaimedEnd(UnclaimedEnd end) {
        metrics.unclaimedEnd();
        LOG.log(
                CoordinatorEvent.END_UNCLAIMED,
                "task",
                end.task(),
                "run",
                end.run(),
                "runner",
                end.runner(),
                "number",
                end.number(),
                "kind",
                end.kind(),
                "currentRun",
                end.currentRun(),
                "currentRunner",
                end.currentRunner());
    }

    @Override
    public void incarnationMismatch(
            TaskName task, int run, String runner, long recordedIncarnationStartMs, long listedIncarnationStartMs) {
        LOG.log(
                CoordinatorEvent.INCARNATION_MISMATCH,
                "task",
                task,
                "run",
                run,
                "runner",
                runner,
                "recordedIncarnationStartMs",
                recordedIncarnationStartMs,
                "listedIncarnationStartMs",
                listedIncarnationStartMs);
    }

    @Override
    public void statusChanged(String job, JobStatus status) {
        LOG.log(CoordinatorEvent.JOB_STATUS, "job", job, "status", status);
    }

    @Override
    public void outcome(JobOutcome outcome) {
        metrics.jobOutcome(outcome);
        LOG.log(
                CoordinatorEvent.JOB_OUTCOME,
                "job",
                outcome.job(),
                "queue",
                outcome.queue(),
                "result",
                outcome.result(),
                "elapsedMs",
                outcome.elapsedMs(),
                "objectiveMs",
                outcome.objectiveMs(),
                "workMillicoreMs",
                outcome.workMillicoreMs(),
                "steps",
                outcome.steps(),
                "tasks",
                outcome.tasks(),
                "doneTasks",
                outcome.doneTasks(),
                "repeatedRuns",
                outcome.repeatedRuns(),
                "largestNeedMillicores",
                outcome.largestNeedMillicores(),
                "longestWaitMs",
                outcome.longestWaitMs(),
                "slowestTask",
                outcome.slowestTask().map(TaskName::toString).orElse(""));
    }

    @Override
    public void preempted(TaskName task, String runner, long ranMs, TaskName beneficiary) {
        LOG.log(
                CoordinatorEvent.TASK_PREEMPTED,
                "task",
                task,
                "runner",
                runner,
                "ranMs",
                ranMs,
                "beneficiary",
                beneficiary);
    }

    @Override
    public void capacityBlocks(CapacityBlocks blocks) {
        metrics.capacityBlocks(blocks);
        if (blocks.waitingMillicores() == 0) {
            return;
        }
        LOG.log(
                CoordinatorEvent.CAPACITY_BLOCKS,
                "largestFreeMillicores",
                blocks.largestFreeMillicores(),
                "largestPreemptibleMillicores",
                blocks.largestPreemptibleMillicores(),
                "largestWaitingMillicores",
                blocks.largestWaitingMillicores(),
                "waitingMillicores",
                blocks.waitingMillicores(),
                "beingFreedMillicores",
                blocks.beingFreedMillicores());
    }

    @Override
    public void jobSetAside(String job, int rows) {
        metrics.jobSetAside();
        LOG.log(CoordinatorEvent.JOB_SET_ASIDE, "job", job, "rows", rows);
    }

    @Override
    public void jobDeferred(String job, int deferred) {
        LOG.log(CoordinatorEvent.JOB_DEFERRED, "job", job, "deferred", deferred);
    }

    @Override
    public void jobResumed(String job) {
        metrics.jobResumed();
        LOG.log(CoordinatorEvent.JOB_RESUMED, "job", job);
    }

    @Override
    public void quarantined(String runner, int failures, long forMs) {
        metrics.quarantined();
        LOG.log(CoordinatorEvent.RUNNER_QUARANTINED, "runner", runner, "failures", failures, "forMs", forMs);
    }

    @Override
    public void waitingTasks(int longRunning, int other) {
        metrics.waitingTasks(longRunning, other);
    }

    @Override
    public void waiting(WaitReport report) {
        metrics.waitExplained(report);
        LOG.log(CoordinatorEvent.TASK_WAITING, keyValues(report).toArray());
    }

    /** Returns the fields of a report as alternating keys and values; counts of 0 are left out. */
    static List<Object> keyValues(WaitReport report) {
        List<Object> fields = new ArrayList<>(List.of(
                "task", report.task(),
                "longRunning", report.longRunning(),
                "waitedMs", report.waitedMs(),
                "waitingTasks", report.waitingTasks(),
                "needMillicores", report.need().processorsMillicores(),
                "needMemoryBytes", report.need().memoryBytes(),
                "needAccelerators", report.need().accelerators(),
                "slotReserved", report.slotReserved(),
                "overtaken", report.overtaken(),
                "fits", report.fittingRunners()));
        for (Map.Entry<PlacementObstacle, Integer> counted :
                report.runnersByObstacle().entrySet()) {
            if (counted.getValue() > 0) {
                fields.add(counted.getKey().name());
                fields.add(counted.getValue());
            }
        }
        return fields;
    }

    @Override
    public void inherited(InheritedPlacements placements) {
        LOG.log(
                CoordinatorEvent.PLACEMENTS_INHERITED,
                "runner",
                placements.runner(),
                "listed",
                placements.listed(),
                "tasks",
                placements.tasks(),
                "firstTask",
                placements.firstTask(),
                "leaseRemainingMs",
                placements.leaseRemainingMs());
    }

    @Override
    public void withoutRun(Map<WithoutRunCause, Integer> tasksByCause) {
        metrics.withoutRun(tasksByCause);
    }

    @Override
    public void withoutRun(WithoutRun description) {
        LOG.log(
                CoordinatorEvent.TASK_WITHOUT_RUN,
                "task",
                description.task(),
                "run",
                description.run(),
                "cause",
                description.cause(),
                "withoutRunMs",
                description.withoutRunMs(),
                "runner",
                description.runner(),
                "listed",
                description.runnerListed(),
                "leaseRemainingMs",
                description.leaseRemainingMs());
    }

    @Override
    public void capacityReserved(TaskName task, String runner, long withoutRunMs) {
        metrics.capacityReserved();
        LOG.log(CoordinatorEvent.CAPACITY_RESERVED, "task", task, "runner", runner, "withoutRunMs", withoutRunMs);
    }

    @Override
    public void evacuating(List<ZoneStatus> zones) {
        metrics.evacuating(zones);
    }

    @Override
    public void fenced(String runner) {
        metrics.fenced();
        LOG.log(CoordinatorEvent.ORDER_FENCED, "runner", runner);
        onFenced.run();
    }
}
