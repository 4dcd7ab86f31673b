package org.pollensill.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.pollensill.job.JobRecord;
import org.pollensill.job.JobRequest;
import org.pollensill.job.JobStatus;
import org.pollensill.job.TaskRecord;
import org.pollensill.queue.AdviceTerms;

/** A job in the leader's memory. */
final class JobState {

    /** Lateness up to this multiple of the objective still earns. */
    private static final int LATE_FACTOR = 3;

    final JobRequest request;
    /** Steps of all occurrences; those of occurrence k begin at k times the number of steps. */
    final List<StepState> steps = new ArrayList<>();

    int priority;
    int attempts = 1;
    String service;
    /** How advice is asked for, empty where any runner may run the tasks. */
    Optional<AdviceTerms> advice = Optional.empty();

    long addedAtMs;
    long objectiveMs;
    /** The state as decided, perhaps not recorded yet. */
    JobStatus status = JobStatus.QUEUED;
    /** The state as last recorded. */
    JobStatus recorded = JobStatus.QUEUED;

    long finalAtMs;

    JobState(JobRequest request, long nowMs) {
        this.request = request;
        this.service = request.service();
        this.addedAtMs = nowMs;
        for (int k = 0; k < request.timetable().times(); k++) {
            for (int i = 0; i < request.steps().size(); i++) {
                steps.add(new StepState(this, k, i, request.steps().get(i)));
            }
        }
    }

    StepState step(int occurrence, int number) {
        return steps.get(occurrence * request.steps().size() + number);
    }

    boolean contains(int occurrence, int number, int index) {
        return occurrence >= 0
                && occurrence < request.timetable().times()
                && number >= 0
                && number < request.steps().size()
                && index >= 0
                && index < step(occurrence, number).tasks.size();
    }

    boolean complete() {
        for (StepState step : steps) {
            if (!step.complete()) {
                return false;
            }
        }
        return true;
    }

    /** Returns the state that clients may see: a final one only when it is recorded. */
    JobStatus visible() {
        if (!status.isFinal() || recorded.isFinal()) {
            return status;
        }
        return recorded == JobStatus.QUEUED ? JobStatus.RUNNING : recorded;
    }

    long deadlineMs() {
        return addedAtMs + objectiveMs;
    }

    /** Returns 0 where the job can be expected to meet its objective, 1 where it will be late, 2 where it earns nothing. */
    int lateness(long nowMs) {
        if (!canStillEarn(nowMs)) {
            return 2;
        }
        return nowMs + remainingChainMs() <= deadlineMs() ? 0 : 1;
    }

    /** Returns the estimated time of the longest chain of steps that are not complete. */
    private long remainingChainMs() {
        int each = request.steps().size();
        long longestMs = 0;
        long[] endMs = new long[steps.size()];
        for (int i = 0; i < endMs.length; i++) {
            StepState step = steps.get(i);
            long beginMs = 0;
            for (int before : step.spec.after()) {
                if (before >= 0 && before < step.number) {
                    beginMs = Math.max(beginMs, endMs[i - i % each + before]);
                }
            }
            endMs[i] = beginMs + (step.complete() ? 0 : step.spec.estimateMs());
            longestMs = Math.max(longestMs, endMs[i]);
        }
        return longestMs;
    }

    boolean canStillEarn(long nowMs) {
        return nowMs < addedAtMs + LATE_FACTOR * objectiveMs;
    }

    JobRecord record() {
        List<TaskRecord> tasks = new ArrayList<>();
        if (!status.isFinal()) {
            for (StepState step : steps) {
                for (TaskState task : step.tasks) {
                    if (task.run > 0) {
                        tasks.add(task.record());
                    }
                }
            }
        }
        return new JobRecord(status, tasks);
    }
}
