package org.pollensill.dispatch;

/** Tracks the health of runners by the outcome of their runs and quarantines failing ones. */
final class RunnerHealth {

    /** Number of consecutive failures of different jobs after which a runner is quarantined. */
    static final int QUARANTINE_FAILURES = 3;

    /**
     * Maximum time from the placement of a probe task until another task may probe the runner. It covers the shortest
     * stall and the report that shows it; a run that is still undecided is paused, being stopped or slow, which says
     * nothing about the runner. So whatever the tasks do, a runner on probation takes one more task per limit.
     */
    static final long PROBE_LIMIT_MS = DispatchTiming.MIN_STALL_MS + DispatchTiming.REPORT_WAIT_MS;

    /** A probe task that has run this long with progress ends the probation of its runner. */
    private static final long PROBE_RUN_MS = 2_000;

    private static final int MAX_DOUBLINGS = 4;

    private final DispatchListener listener;

    RunnerHealth(DispatchListener listener) {
        this.listener = listener;
    }

    void onSuccess(RunnerState runner) {
        runner.failures = 0;
        runner.lastFailedJob = "";
        runner.probeTask = null;
    }

    /** Resets the failures of a runner whose probe task makes progress; a long-running task never ends as done. */
    void onProgress(RunnerState runner, TaskState task, long nowMs) {
        boolean progressing = task.percent > 0 && nowMs - task.startedAtMs >= PROBE_RUN_MS;
        if (runner.probeTask == task && progressing) {
            onSuccess(runner);
        }
    }

    /** Counts a failure; consecutive failures of one job count once, since the job itself may be at fault. */
    void onFailure(RunnerState runner, String job, long nowMs) {
        if (job.equals(runner.lastFailedJob)) {
            return;
        }
        runner.lastFailedJob = job;
        runner.failures++;
        if (runner.failures < QUARANTINE_FAILURES) {
            return;
        }
        int doublings = Math.min(MAX_DOUBLINGS, runner.failures - QUARANTINE_FAILURES);
        long quarantineMs = Math.min(DispatchTiming.MAX_QUARANTINE_MS, DispatchTiming.QUARANTINE_MS << doublings);
        runner.quarantineEndMs = nowMs + quarantineMs;
        listener.quarantined(runner.id, runner.failures, quarantineMs);
    }

    /** Counts a stalled run and quarantines the runner at once, since only the runner can be at fault. */
    void onStall(RunnerState runner, long nowMs) {
        runner.failures = Math.max(runner.failures + 1, QUARANTINE_FAILURES);
        runner.quarantineEndMs = nowMs + DispatchTiming.MAX_QUARANTINE_MS;
        listener.quarantined(runner.id, runner.failures, DispatchTiming.MAX_QUARANTINE_MS);
    }
}
