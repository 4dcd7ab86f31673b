package org.pollensill.dispatch;

/** Judges runners by how runs end there. */
final class RunnerHealth {

    /** A runner is set aside after this many failures of different jobs in a row. */
    static final int FAILURES_TO_SET_ASIDE = 3;

    /** A task that has worked this long shows that its runner is sound. */
    private static final long TRIAL_MS = 2_000;

    private static final int MOST_DOUBLINGS = 4;

    private final DispatchListener listener;

    RunnerHealth(DispatchListener listener) {
        this.listener = listener;
    }

    void done(RunnerState runner) {
        runner.failures = 0;
        runner.lastFailedJob = "";
        runner.trial = null;
    }

    /** Trusts a runner again whose trial has worked for a while; a task that lasts never ends as done. */
    void working(RunnerState runner, TaskState task, long nowMs) {
        boolean moving = task.percent > 0 && nowMs - task.startedAtMs >= TRIAL_MS;
        if (runner.trial == task && moving) {
            done(runner);
        }
    }

    /** Counts a failure; several tasks of one job count once, since the job itself may be at fault. */
    void failed(RunnerState runner, String job, long nowMs) {
        if (job.equals(runner.lastFailedJob)) {
            return;
        }
        runner.lastFailedJob = job;
        runner.failures++;
        if (runner.failures < FAILURES_TO_SET_ASIDE) {
            return;
        }
        int doublings = Math.min(MOST_DOUBLINGS, runner.failures - FAILURES_TO_SET_ASIDE);
        long forMs = Math.min(DispatchTiming.SET_ASIDE_MOST_MS, DispatchTiming.SET_ASIDE_MS << doublings);
        runner.setAsideEndMs = nowMs + forMs;
        listener.setAside(runner.id, runner.failures, forMs);
    }

    /** Counts a run that stood still, which only the runner can be blamed for. */
    void stalled(RunnerState runner, long nowMs) {
        runner.failures = Math.max(runner.failures + 1, FAILURES_TO_SET_ASIDE);
        runner.setAsideEndMs = nowMs + DispatchTiming.SET_ASIDE_MOST_MS / 2;
        listener.setAside(runner.id, runner.failures, DispatchTiming.SET_ASIDE_MOST_MS / 2);
    }
}
