package org.pollensill.dispatch;

/**
 * Decides whether a long-running task may be ended on purpose without taking its step beyond what may be missing. A task
 * counts as available only while a report proves that it works: whatever keeps reports away, it counts as missing before
 * users do so.
 */
final class StepAvailability {

    /** Default of the time without work after which users count a task as missing: the shortest of their deployments. */
    static final long DEFAULT_UNAVAILABLE_AFTER_MS = 4_500;

    /** Maximum time from the decision to stop a task until the order reaches its runner. */
    static final long ORDER_DELAY_MS = 1_000;

    /** Maximum fraction of a step's tasks that may be missing, for steps that set no limit of their own. */
    private static final double MAX_MISSING_FRACTION = 0.34;

    private long maxProofAgeMs = DEFAULT_UNAVAILABLE_AFTER_MS - ORDER_DELAY_MS;

    /** Sets the time without work after which users count a long-running task as missing. */
    void setUnavailableAfterMs(long unavailableAfterMs) {
        maxProofAgeMs = unavailableAfterMs - ORDER_DELAY_MS;
    }

    /** Returns how many more tasks of a step may be stopped. */
    int tolerableStops(StepState step, long nowMs) {
        return Math.max(0, maxMissing(step) - missing(step, nowMs));
    }

    /** Returns whether the order to stop a task, which may have been lost, so that the task works on, may be repeated. */
    boolean mayRepeatStop(TaskState task, long nowMs) {
        StepState step = task.step;
        boolean mayWork = task.percent >= TaskState.FULL_PERCENT;
        return !hasOwnLimit(step) || !mayWork || missing(step, nowMs) <= maxMissing(step);
    }

    private static boolean hasOwnLimit(StepState step) {
        return step.spec.serviceLevel().maxUnavailable() > 0;
    }

    private static int maxMissing(StepState step) {
        return hasOwnLimit(step)
                ? step.spec.serviceLevel().maxUnavailable()
                : (int) Math.max(1, MAX_MISSING_FRACTION * step.tasks.size());
    }

    private int missing(StepState step, long nowMs) {
        int missing = 0;
        for (TaskState task : step.tasks) {
            if (!task.isFullyRunning() || hasOwnLimit(step) && !isProven(task, nowMs)) {
                missing++;
            }
        }
        return missing;
    }

    private boolean isProven(TaskState task, long nowMs) {
        return task.runner.isResponsive() && nowMs - task.workProvenAtMs <= maxProofAgeMs;
    }
}
