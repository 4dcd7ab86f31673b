package org.pollensill.dispatch;

import java.util.ArrayList;
import java.util.List;

/**
 * In-memory state of one occurrence of a job. It exists from the time at which the occurrence is due until all its steps
 * are complete.
 */
final class OccurrenceState {

    /** Completion within this multiple of the objective still has value. */
    private static final int MAX_LATENESS_FACTOR = 3;

    private static final long UNKNOWN = -1;

    final JobState job;
    final int index;
    /** Time from which the objective counts: that at which the occurrence was due, or the job was added. */
    private long beginMs;

    final List<StepState> steps = new ArrayList<>();
    private int completeSteps;
    /** Cached estimate of the critical path through the incomplete steps. */
    private long remainingCriticalPathMs = UNKNOWN;

    OccurrenceState(JobState job, int index) {
        this.job = job;
        this.index = index;
        this.beginMs = job.addedAtMs;
        for (int number = 0; number < job.request.steps().size(); number++) {
            steps.add(new StepState(this, number, job.request.steps().get(number), job.ordinal(index, number, 0)));
        }
    }

    /** Sets the time at which the occurrence was due. */
    void setDueMs(long dueMs) {
        beginMs = dueMs;
    }

    boolean complete() {
        return completeSteps == steps.size();
    }

    void stepCompleted() {
        completeSteps++;
        remainingCriticalPathMs = UNKNOWN;
    }

    long deadlineMs() {
        return beginMs + job.objectiveMs;
    }

    /** Returns 0 if the objective is expected to be met, 1 if completion will be late, 2 if it has no value. */
    int lateness(long nowMs) {
        if (!hasRemainingValue(nowMs)) {
            return 2;
        }
        return nowMs + remainingCriticalPathMs() <= deadlineMs() ? 0 : 1;
    }

    /** Returns the estimated duration of the critical path through the incomplete steps. */
    private long remainingCriticalPathMs() {
        if (remainingCriticalPathMs == UNKNOWN) {
            remainingCriticalPathMs = computeRemainingCriticalPathMs();
        }
        return remainingCriticalPathMs;
    }

    private long computeRemainingCriticalPathMs() {
        long longestMs = 0;
        long[] endMs = new long[steps.size()];
        for (int i = 0; i < endMs.length; i++) {
            StepState step = steps.get(i);
            long stepBeginMs = 0;
            for (int before : step.spec.predecessors()) {
                if (before >= 0 && before < i) {
                    stepBeginMs = Math.max(stepBeginMs, endMs[before]);
                }
            }
            endMs[i] = stepBeginMs + (step.complete() ? 0 : step.spec.estimateMs());
            longestMs = Math.max(longestMs, endMs[i]);
        }
        return longestMs;
    }

    /** Returns whether completion still has value if the next tasks start after a delay. */
    boolean canEndInValue(long nowMs, long startDelayMs) {
        return hasRemainingValue(nowMs + startDelayMs + remainingCriticalPathMs());
    }

    boolean hasRemainingValue(long nowMs) {
        return nowMs < beginMs + MAX_LATENESS_FACTOR * job.objectiveMs;
    }
}
