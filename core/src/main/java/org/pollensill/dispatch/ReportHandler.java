package org.pollensill.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.pollensill.dispatch.DispatchListener.Cause;
import org.pollensill.job.JobStatus;
import org.pollensill.job.TaskName;
import org.pollensill.job.Trait;
import org.pollensill.runner.EndKind;
import org.pollensill.runner.RunnerReport;

/** Applies the reports of runners to the tasks. */
final class ReportHandler {

    private final JobTable jobs;
    private final PendingChanges pendingChanges;
    private final RunnerHealth health;
    private final DispatchListener listener;
    private final Orders orders;
    private final StepAvailability availability;

    ReportHandler(
            JobTable jobs,
            PendingChanges pendingChanges,
            RunnerHealth health,
            DispatchListener listener,
            Orders orders,
            StepAvailability availability) {
        this.jobs = jobs;
        this.pendingChanges = pendingChanges;
        this.health = health;
        this.listener = listener;
        this.orders = orders;
        this.availability = availability;
    }

    /**
     * Applies a report of the runner's current incarnation. Of a report that a later one has overtaken, only the ended
     * runs count, since the running ones may have ended meanwhile.
     *
     * @return whether no later report was applied before
     */
    boolean apply(RunnerState runner, long sequence, RunnerReport report, long nowMs) {
        runner.observeClock(report.clockMs(), nowMs);
        runner.unansweredRenewals = 0;
        if (!runner.fenceConfirmed) {
            runner.fenceConfirmed = true;
            runner.recordLeaseEnd(report.clockMs() + formerLeaseMs(runner, nowMs));
        }
        for (RunnerReport.EndedRun end : report.ended()) {
            if (end.sequence() > runner.lastSeenEnd) {
                runner.lastSeenEnd = end.sequence();
                applyEnd(runner, end, nowMs);
            }
        }
        if (runner.lastSeenEnd > runner.lastDurableEnd) {
            pendingChanges.ended(runner);
        }
        if (sequence < runner.lastReportSequence) {
            return false;
        }
        runner.lastReportSequence = sequence;
        // The runner lists all ends that are not acknowledged, whatever has become of the acknowledgements sent.
        runner.lastAcknowledgedEnd = runner.lastSeenEnd;
        for (RunnerReport.EndedRun end : report.ended()) {
            runner.lastAcknowledgedEnd = Math.min(runner.lastAcknowledgedEnd, end.sequence() - 1);
        }
        runner.lastReportClockMs = report.clockMs();
        runner.lastAnswerAtMs = nowMs;
        Map<TaskName, RunnerReport.RunningTask> running = new HashMap<>();
        runner.unassignedRuns = 0;
        for (RunnerReport.RunningTask row : report.running()) {
            running.put(row.task(), row);
            applyRunning(runner, row, sequence, nowMs);
        }
        StrayRuns.forgetEnded(runner, running.keySet());
        // An omitted end may be that of a run that is no longer listed.
        if (!report.mayOmitEnds()) {
            releaseMissing(runner, sequence, running, nowMs);
        }
        return true;
    }

    /** Returns the longest lease that former leaders may have granted; see {@link Fleet#extendInheritedLease}. */
    private static long formerLeaseMs(RunnerState runner, long nowMs) {
        for (TaskState task : runner.tasks.values()) {
            if (task.placedIncarnationStartMs != runner.incarnationStartMs) {
                return DispatchTiming.MAX_LEASE_MS;
            }
        }
        long namedMs = runner.namedLeaseExpiryAtMs.orElse(nowMs) - nowMs;
        return Math.max(DispatchTiming.LEASE_MS, namedMs);
    }

    private void releaseMissing(
            RunnerState runner, long sequence, Map<TaskName, RunnerReport.RunningTask> running, long nowMs) {
        boolean afterLapse = runner.lapsedAtMs != 0 && sequence > runner.renewalBeforeLapse;
        for (TaskState task : new ArrayList<>(runner.tasks.values())) {
            if (task.phase == TaskState.Phase.PLACED || isListed(running, task)) {
                continue;
            }
            if (afterLapse) {
                // Start orders expire with the lease, so the run cannot begin any more either.
                releaseLapsed(task, nowMs);
            } else if (RunOwnership.endsByOmission(task, sequence)) {
                releaseLost(task, Cause.NOT_LISTED, nowMs, 0);
            }
        }
        if (afterLapse) {
            runner.lapsedAtMs = 0;
        }
    }

    private static boolean isListed(Map<TaskName, RunnerReport.RunningTask> running, TaskState task) {
        RunnerReport.RunningTask row = running.get(task.name);
        return row != null && row.run() == task.run;
    }

    private void applyRunning(RunnerState runner, RunnerReport.RunningTask row, long sequence, long nowMs) {
        resumeIfReleased(runner, row, nowMs);
        TaskState task = runner.tasks.get(row.task());
        if (task == null || task.run != row.run()) {
            runner.unassignedRuns++;
            runner.address().ifPresent(to -> orders.stop(to, row.task(), row.run()));
            jobs.task(row.task()).ifPresent(found -> StrayRuns.add(found, runner, nowMs));
            return;
        }
        if (sequence == runner.renewalSequence) {
            task.runAddress = runner.renewalAddress;
            if (row.percent() >= TaskState.FULL_PERCENT) {
                task.workProvenAtMs = runner.renewalSentAtMs;
            }
        }
        if (!row.checkpoint().isEmpty()) {
            task.checkpoint = row.checkpoint();
            task.checkpointPercent = row.percent();
        }
        if (row.percent() != task.percent) {
            task.percent = row.percent();
            task.progressAtMs = nowMs;
            task.progressClockMs = 0;
        }
        if (task.progressClockMs == 0) {
            task.progressClockMs = runner.lastReportClockMs;
        }
        if (task.phase == TaskState.Phase.ORDERED) {
            confirm(task, runner);
        }
    }

    /** Takes back a run that is at work although it was released, so that the task is not started beside it. */
    private void resumeIfReleased(RunnerState runner, RunnerReport.RunningTask row, long nowMs) {
        Optional<TaskState> found = jobs.task(row.task());
        if (found.isEmpty()) {
            return;
        }
        TaskState task = found.get();
        boolean released = task.phase == TaskState.Phase.WAITING && task.run == row.run();
        if (!released || task.step.job.status.isFinal() || task.step.spec.hasTrait(Trait.GANG)) {
            return;
        }
        task.resumeOn(runner, runner.renewalAddress, nowMs);
        pendingChanges.changed(task);
        confirm(task, runner);
    }

    /** Marks a run as confirmed by its runner; only reports to renewals sent from now on must list it. */
    void confirm(TaskState task, RunnerState runner) {
        task.phase = TaskState.Phase.RUNNING;
        task.confirmedAtRenewal = runner.renewalSequence;
        if (task.step.job.status == JobStatus.QUEUED) {
            task.step.job.status = JobStatus.RUNNING;
            listener.statusChanged(task.name.jobId(), JobStatus.RUNNING);
        }
        listener.started(task.name, task.run, runner.id);
    }

    private void applyEnd(RunnerState runner, RunnerReport.EndedRun end, long nowMs) {
        TaskState task = runner.tasks.get(end.task());
        if (task == null || task.run != end.run()) {
            applyUnclaimedEnd(runner, end, nowMs);
            return;
        }
        if (!end.checkpoint().isEmpty()) {
            task.checkpoint = end.checkpoint();
            task.checkpointPercent = task.percent;
        }
        JobState job = task.step.job;
        pendingChanges.endedRun(runner, job);
        if (job.status.isFinal()) {
            task.release();
            return;
        }
        if (job.status == JobStatus.QUEUED) {
            job.status = JobStatus.RUNNING;
        }
        if (task.completed) {
            jobs.markTaskDone(task, nowMs);
            return;
        }
        boolean longRunning = task.step.spec.hasTrait(Trait.RESTART_ALWAYS);
        if (end.kind() == EndKind.DONE && !longRunning) {
            health.onSuccess(runner);
            listener.done(task.name, task.run, runner.id);
            completeTask(task, nowMs);
            return;
        }
        if (end.kind() == EndKind.FAILED) {
            health.onFailure(runner, job.request.id(), nowMs);
            task.failures++;
            releaseLost(task, Cause.FAILED, nowMs, DispatchTiming.FAILED_RUN_RETRY_DELAY_MS);
            if (job.exhausted(task)) {
                fail(job, nowMs);
            }
            return;
        }
        releaseLost(task, Cause.ENDED_EARLY, nowMs, 0);
    }

    /**
     * Handles the end of a run that is not expected on its runner. One that has completed its task does so whatever has
     * become of the task since: the acknowledgement of the end permits no further start.
     */
    private void applyUnclaimedEnd(RunnerState runner, RunnerReport.EndedRun end, long nowMs) {
        Optional<TaskState> found = jobs.task(end.task());
        if (found.isEmpty()
                || found.get().phase == TaskState.Phase.DONE
                || found.get().step.job.status.isFinal()) {
            return;
        }
        TaskState task = found.get();
        listener.unclaimedEnd(new UnclaimedEnd(
                task.name,
                end.run(),
                runner.id,
                end.sequence(),
                end.kind(),
                task.run,
                task.runner == null ? "" : task.runner.id));
        if (end.kind() != EndKind.DONE || task.step.spec.hasTrait(Trait.RESTART_ALWAYS)) {
            return;
        }
        pendingChanges.endedRun(runner, task.step.job);
        boolean gang = task.step.spec.hasTrait(Trait.GANG);
        Iterable<TaskState> completed = gang ? task.step.tasks : List.of(task);
        for (TaskState member : completed) {
            completeByFormerRun(member, nowMs);
        }
    }

    /** Completes a task; a later run that may be at work keeps its resources until it has been stopped. */
    private void completeByFormerRun(TaskState task, long nowMs) {
        if (task.phase == TaskState.Phase.DONE || task.completed) {
            return;
        }
        boolean mayRun = task.hasRunner() && task.phase != TaskState.Phase.PLACED && !task.startIsUnsent();
        if (!mayRun) {
            jobs.markTaskDone(task, nowMs);
            return;
        }
        task.completed = true;
        pendingChanges.changed(task);
        stop(task, Cause.COMPLETED, nowMs);
    }

    /** Ends a job as failed, unless it has ended otherwise. */
    void fail(JobState job, long nowMs) {
        if (job.status.isFinal()) {
            return;
        }
        jobs.finish(job, JobStatus.FAILED, nowMs);
        stopAll(job, nowMs);
    }

    private void completeTask(TaskState task, long nowMs) {
        if (!task.step.spec.hasTrait(Trait.GANG)) {
            jobs.markTaskDone(task, nowMs);
            return;
        }
        for (TaskState member : task.step.tasks) {
            if (member.phase != TaskState.Phase.DONE) {
                jobs.markTaskDone(member, nowMs);
            }
        }
    }

    /** Releases a run from its runner because it has certainly ended there or has never begun. */
    void releaseLost(TaskState task, Cause cause, long nowMs, long delayMs) {
        RunnerState runner = task.runner;
        listener.lost(RunLoss.of(task, cause, true, nowMs));
        if (task.completed) {
            jobs.markTaskDone(task, nowMs);
            return;
        }
        if (cause == Cause.FAILED || cause == Cause.STALLED || cause == Cause.LEASE_LAPSED) {
            task.avoidRunner = runner == null ? "" : runner.id;
        }
        // A run that was never confirmed does not interrupt the wait.
        if (task.phase == TaskState.Phase.RUNNING) {
            long lastKnownRunMs = Math.max(task.startedAtMs, runner.lastAnswerAtMs);
            task.withoutRunSinceMs = cause == Cause.LEASE_LAPSED ? lastKnownRunMs : nowMs;
        }
        task.release();
        jobs.beginWait(task, nowMs);
        task.notBeforeMs = nowMs + delayMs;
        pendingChanges.changed(task);
    }

    /** Releases a run whose lease has expired. */
    void releaseLapsed(TaskState task, long nowMs) {
        if (task.step.job.status.isFinal()) {
            task.release();
            return;
        }
        releaseLost(task, Cause.LEASE_LAPSED, nowMs, 0);
    }

    /**
     * Begins the incarnation of a runner that its report shows, and releases the runs that have ended with the former
     * one.
     */
    void beginIncarnation(RunnerState runner, long sequence, RunnerReport report, long nowMs) {
        Set<TaskName> listed = new HashSet<>();
        for (RunnerReport.RunningTask row : report.running()) {
            addIfAssigned(runner, row.task(), row.run(), listed);
        }
        for (RunnerReport.EndedRun row : report.ended()) {
            addIfAssigned(runner, row.task(), row.run(), listed);
        }
        boolean tasksStay = false;
        for (TaskState task : new ArrayList<>(runner.tasks.values())) {
            if (!listed.contains(task.name) && RunOwnership.endsByRestart(task, sequence)) {
                releaseLost(task, Cause.RUNNER_RESTARTED, nowMs, 0);
                continue;
            }
            tasksStay = true;
            task.progressClockMs = 0;
            if (task.phase == TaskState.Phase.RUNNING && (listed.contains(task.name) || !task.startIsUnanswered())) {
                task.confirmedAtRenewal = runner.renewalSequence;
            } else if (task.startAttempts > 0) {
                // A confirmation or a stop by the former incarnation does not count for this one.
                task.phase = TaskState.Phase.ORDERED;
                task.confirmedAtRenewal = RunOwnership.NO_RENEWAL;
                task.startDueAtMs = nowMs;
            }
            pendingChanges.changed(task);
        }
        pendingChanges.forgetEnds(runner);
        runner.beginIncarnation(report.incarnationStartMs());
        runner.incarnationKnownAtMs = nowMs;
        if (tasksStay) {
            // The orders named a lease on the former incarnation's clock.
            runner.recordLeaseEnd(report.clockMs() + DispatchTiming.MAX_LEASE_MS);
        }
    }

    private static void addIfAssigned(RunnerState runner, TaskName name, int run, Set<TaskName> assigned) {
        TaskState task = runner.tasks.get(name);
        if (task != null && task.run == run) {
            assigned.add(name);
        }
    }

    /**
     * Handles the answer of another runner at the address of one. The runs that were confirmed there have ended; others
     * stay until a report or the end of their lease. The list entry may stay for a while, so the runner takes nothing
     * until it reports.
     */
    void onOtherRunner(RunnerState runner, long sequence, long nowMs) {
        for (TaskState task : new ArrayList<>(runner.tasks.values())) {
            if (RunOwnership.endsByOtherRunner(task, runner.renewalAddress, sequence)) {
                releaseLost(task, Cause.RUNNER_RESTARTED, nowMs, 0);
            }
        }
        runner.listed = false;
        runner.unansweredRenewals = Math.max(1, runner.unansweredRenewals);
    }

    /** Stops all runs of a job that has reached a final state. */
    void stopAll(JobState job, long nowMs) {
        for (StepState step : job.openSteps()) {
            for (TaskState task : step.tasks) {
                if (task.phase == TaskState.Phase.PLACED) {
                    task.release();
                } else if (task.hasRunner()) {
                    stop(task, Cause.JOB_ENDED, nowMs);
                }
            }
        }
    }

    /** Repeats the order to stop a task, unless the first one was lost and the step would miss too many without it. */
    void repeatStop(TaskState task, long nowMs) {
        boolean mustEnd = task.step.job.status.isFinal() || task.completed || task.runner.draining();
        if (mustEnd || availability.mayRepeatStop(task, nowMs)) {
            stop(task, Cause.REFUSED, nowMs);
        }
    }

    void stop(TaskState task, Cause cause, long nowMs) {
        if (!task.stopping) {
            listener.lost(RunLoss.of(task, cause, false, nowMs));
        }
        task.stopping = true;
        task.stopAttempts++;
        task.stopSentAtMs = nowMs;
        task.runner.address().ifPresent(to -> orders.stop(to, task.name, task.run));
    }
}
