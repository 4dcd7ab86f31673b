package org.pollensill.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.pollensill.dispatch.DispatchListener.Cause;
import org.pollensill.job.JobStatus;
import org.pollensill.job.TaskName;
import org.pollensill.job.Trait;
import org.pollensill.runner.EndKind;
import org.pollensill.runner.RunnerClock;
import org.pollensill.runner.RunnerReport;

/** Applies what runners report to the tasks. */
final class Reports {

    private final JobTable jobs;
    private final Recorder recorder;
    private final RunnerHealth health;
    private final DispatchListener listener;
    private final Orders orders;

    Reports(JobTable jobs, Recorder recorder, RunnerHealth health, DispatchListener listener, Orders orders) {
        this.jobs = jobs;
        this.recorder = recorder;
        this.health = health;
        this.listener = listener;
        this.orders = orders;
    }

    /** Applies a report to a runner whose life it belongs to. */
    void apply(RunnerState runner, long sequence, RunnerReport report, long nowMs) {
        runner.clock = Optional.of(RunnerClock.of(report.clockMs(), nowMs));
        runner.answeredAtMs = nowMs;
        runner.silentHolds = 0;
        if (!runner.fenced) {
            runner.fenced = true;
            runner.grantUntil(report.clockMs() + DispatchTiming.LEASE_MS);
        }
        for (RunnerReport.EndedRun end : report.ended()) {
            if (end.number() > runner.seenEnd) {
                runner.seenEnd = end.number();
                applyEnd(runner, end, nowMs);
            }
        }
        if (runner.seenEnd > runner.durableEnd) {
            recorder.ended(runner, runner.seenEnd);
        }
        Map<TaskName, RunnerReport.RunningTask> running = new HashMap<>();
        for (RunnerReport.RunningTask row : report.running()) {
            running.put(row.task(), row);
            applyRunning(runner, row, nowMs);
        }
        for (TaskState task : new ArrayList<>(runner.tasks.values())) {
            boolean mustBeListed = task.phase == TaskState.Phase.RUNNING || task.phase == TaskState.Phase.ORDERED;
            if (mustBeListed && task.confirmedAtHold < sequence && !isListed(running, task)) {
                lose(task, Cause.NOT_LISTED, nowMs, 0);
            }
        }
    }

    private static boolean isListed(Map<TaskName, RunnerReport.RunningTask> running, TaskState task) {
        RunnerReport.RunningTask row = running.get(task.name);
        return row != null && row.run() == task.run;
    }

    private void applyRunning(RunnerState runner, RunnerReport.RunningTask row, long nowMs) {
        TaskState task = runner.tasks.get(row.task());
        if (task == null || task.run != row.run()) {
            runner.address().ifPresent(to -> orders.stop(to, row.task(), row.run()));
            return;
        }
        if (!row.checkpoint().isEmpty()) {
            task.checkpoint = row.checkpoint();
        }
        if (row.percent() != task.percent) {
            task.percent = row.percent();
            task.progressAtMs = nowMs;
        }
        if (task.phase == TaskState.Phase.ORDERED) {
            confirm(task, runner);
        }
    }

    /** Notes that a runner has the run; only reports to holds sent from now on must list it. */
    void confirm(TaskState task, RunnerState runner) {
        task.phase = TaskState.Phase.RUNNING;
        task.confirmedAtHold = runner.holdSequence;
        if (task.step.job.status == JobStatus.QUEUED) {
            task.step.job.status = JobStatus.RUNNING;
            listener.status(task.name.jobId(), JobStatus.RUNNING);
        }
        listener.started(task.name, task.run, runner.id);
    }

    private void applyEnd(RunnerState runner, RunnerReport.EndedRun end, long nowMs) {
        TaskState task = runner.tasks.get(end.task());
        if (task == null || task.run != end.run()) {
            return;
        }
        if (!end.checkpoint().isEmpty()) {
            task.checkpoint = end.checkpoint();
        }
        JobState job = task.step.job;
        if (job.status.isFinal()) {
            task.release();
            return;
        }
        if (job.status == JobStatus.QUEUED) {
            job.status = JobStatus.RUNNING;
        }
        boolean lasting = task.step.spec.is(Trait.RESTART_ALWAYS);
        if (end.kind() == EndKind.DONE && !lasting) {
            health.done(runner);
            listener.done(task.name, task.run, runner.id);
            completeTask(task, nowMs);
            return;
        }
        if (end.kind() == EndKind.FAILED) {
            health.failed(runner, job.request.id(), nowMs);
            task.failures++;
            lose(task, Cause.FAILED, nowMs, DispatchTiming.FAILED_RETRY_MS);
            if (!lasting && task.failures >= job.attempts) {
                jobs.finish(job, JobStatus.FAILED, nowMs);
                stopAll(job, nowMs);
            }
            return;
        }
        lose(task, Cause.ENDED_EARLY, nowMs, 0);
    }

    private void completeTask(TaskState task, long nowMs) {
        if (!task.step.spec.is(Trait.GANG)) {
            jobs.taskDone(task, nowMs);
            return;
        }
        for (TaskState member : task.step.tasks) {
            if (member.phase != TaskState.Phase.DONE) {
                jobs.taskDone(member, nowMs);
            }
        }
    }

    /** Takes a run off its runner because it has certainly ended there, or was never there. */
    void lose(TaskState task, Cause cause, long nowMs, long delayMs) {
        RunnerState runner = task.runner;
        listener.lost(task.name, task.run, runner == null ? "" : runner.id, cause);
        if (cause == Cause.FAILED || cause == Cause.STALLED || cause == Cause.LEASE_LAPSED) {
            task.avoidRunner = runner == null ? "" : runner.id;
        }
        task.release();
        task.readySinceMs = nowMs;
        task.notBeforeMs = nowMs + delayMs;
        recorder.changed(task.step.job);
    }

    /** Takes everything off a runner that has started anew. */
    void endLife(RunnerState runner, long nowMs) {
        for (TaskState task : new ArrayList<>(runner.tasks.values())) {
            lose(task, Cause.RUNNER_RESTARTED, nowMs, 0);
        }
    }

    /** Stops all runs of a job that has reached a final state. */
    void stopAll(JobState job, long nowMs) {
        for (StepState step : job.steps) {
            for (TaskState task : step.tasks) {
                if (task.phase == TaskState.Phase.PLACED) {
                    task.release();
                } else if (task.held()) {
                    stop(task, Cause.JOB_ENDED, nowMs);
                }
            }
        }
    }

    void stop(TaskState task, Cause cause, long nowMs) {
        if (!task.stopping) {
            listener.lost(task.name, task.run, task.runner.id, cause);
        }
        task.stopping = true;
        task.stopSentAtMs = nowMs;
        task.runner.address().ifPresent(to -> orders.stop(to, task.name, task.run));
    }
}
