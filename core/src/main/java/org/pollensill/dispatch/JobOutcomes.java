package org.pollensill.dispatch;

import java.util.Collection;
import java.util.Optional;

import org.pollensill.job.JobStatus;
import org.pollensill.job.TaskName;
import org.pollensill.job.Trait;

/** Reports once for each job that has an objective how it fared. */
final class JobOutcomes {

    /** Interval between two searches for jobs whose completion has lost its value. */
    private static final long INTERVAL_MS = 500;

    private final DispatchListener listener;
    private long lastRoundAtMs = Long.MIN_VALUE / 2;

    JobOutcomes(DispatchListener listener) {
        this.listener = listener;
    }

    /** Reports the jobs whose completion has lost its value. */
    void tick(Collection<JobState> jobs, long nowMs) {
        if (nowMs - lastRoundAtMs < INTERVAL_MS) {
            return;
        }
        lastRoundAtMs = nowMs;
        for (JobState job : jobs) {
            boolean mayExpire = !job.status.isFinal() && !job.request.schedule().isScheduled();
            if (mayExpire && !job.onlyOccurrence().hasRemainingValue(nowMs)) {
                report(job, JobOutcome.Result.EXPIRED, nowMs);
            }
        }
    }

    /** Reports a job that has reached a final state. */
    void ended(JobState job, long nowMs) {
        if (job.request.schedule().isScheduled()) {
            return;
        }
        if (job.status == JobStatus.DONE) {
            OccurrenceState occurrence = job.onlyOccurrence();
            boolean inTime = nowMs <= occurrence.deadlineMs();
            JobOutcome.Result inValue = inTime ? JobOutcome.Result.IN_TIME : JobOutcome.Result.LATE;
            report(job, occurrence.hasRemainingValue(nowMs) ? inValue : JobOutcome.Result.EXPIRED, nowMs);
            return;
        }
        report(job, job.status == JobStatus.CANCELLED ? JobOutcome.Result.CANCELLED : JobOutcome.Result.FAILED, nowMs);
    }

    private void report(JobState job, JobOutcome.Result result, long nowMs) {
        if (job.outcomeReported || job.terms.isEmpty() || !hasObjective(job)) {
            return;
        }
        job.outcomeReported = true;
        listener.outcome(outcome(job, result, nowMs));
    }

    /** Returns whether the time until a job without a schedule is done counts: long-running jobs do not end soon. */
    private static boolean hasObjective(JobState job) {
        for (StepState step : job.openSteps()) {
            if (step.spec.hasTrait(Trait.RESTART_ALWAYS)) {
                return false;
            }
        }
        return true;
    }

    private static JobOutcome outcome(JobState job, JobOutcome.Result result, long nowMs) {
        long workMillicoreMs = 0;
        long largestNeedMillicores = 0;
        long longestWaitMs = 0;
        Optional<TaskName> slowestTask = Optional.empty();
        int tasks = 0;
        int doneTasks = 0;
        int repeatedRuns = 0;
        for (StepState step : job.openSteps()) {
            long needMillicores = step.spec.need().processorsMillicores();
            workMillicoreMs += step.spec.estimateMs() * needMillicores * step.tasks.size();
            largestNeedMillicores = Math.max(largestNeedMillicores, needMillicores);
            tasks += step.tasks.size();
            doneTasks += step.done;
            repeatedRuns += step.repeatedRunsOfDone;
            if (step.longestWaitOfDoneMs > longestWaitMs) {
                longestWaitMs = step.longestWaitOfDoneMs;
                slowestTask = Optional.of(step.nameOf(step.longestWaitingDoneIndex));
            }
            if (step.ready && step.tasks.untouched() > 0 && nowMs - step.readySinceMs > longestWaitMs) {
                longestWaitMs = nowMs - step.readySinceMs;
                slowestTask = Optional.of(step.nameOf(step.tasks.firstUntouched(0)));
            }
            for (TaskState task : step.tasks) {
                repeatedRuns += Math.max(0, task.run - 1);
                boolean waits = step.ready && task.phase == TaskState.Phase.WAITING;
                long waitMs = Math.max(task.longestWaitMs, waits ? nowMs - task.readySinceMs : 0);
                if (waitMs > longestWaitMs) {
                    longestWaitMs = waitMs;
                    slowestTask = Optional.of(task.name);
                }
            }
        }
        return new JobOutcome(
                job.request.id(),
                job.request.queue(),
                result,
                nowMs - job.addedAtMs,
                job.objectiveMs,
                workMillicoreMs,
                job.request.steps().size(),
                tasks,
                doneTasks,
                repeatedRuns,
                largestNeedMillicores,
                longestWaitMs,
                slowestTask);
    }
}
