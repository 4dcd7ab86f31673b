package org.pollensill.batch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.pollensill.platform.Host;
import org.pollensill.worker.Resources;

/** Worker that enforces leases by a clock with its own origin and rate. */
final class FakeWorker {

    static final Resources SIZE = new Resources(4_000, 4_000, 0);

    private static final class TaskRun {
        private final WorkerCall.Start start;
        private long leaseUntilMs;
        private double progressMs;
        private WorkerReport.State state = WorkerReport.State.RUNNING;
        private String checkpointId = "";

        private TaskRun(WorkerCall.Start start) {
            this.start = start;
        }
    }

    final String name;
    private final GuaranteeChecker checker;
    private final long originMs;
    private final double rate;
    private final Map<TaskId, TaskRun> tasks = new HashMap<>();
    private final Map<TaskId, Integer> lastAttempts = new HashMap<>();
    private long bootNs;
    private long nowNs;
    private long lastUnreachableNs = -1;
    private long epoch;
    boolean alive = true;
    boolean reachable = true;
    boolean leaving;
    boolean failing;
    int incarnation;

    FakeWorker(String name, GuaranteeChecker checker, long originMs, double rate) {
        this.name = name;
        this.checker = checker;
        this.originMs = originMs;
        this.rate = rate;
    }

    Host host() {
        return new Host(
                name,
                name,
                Host.Role.WORKER,
                "",
                "r",
                "z",
                "k" + name.charAt(name.length() - 1) % 2,
                leaving ? Host.State.LEAVING : Host.State.LIVE,
                (int) SIZE.processorsMillicores(),
                SIZE.memoryBytes(),
                0,
                0,
                0);
    }

    private long clockMs() {
        return originMs + (long) ((nowNs - bootNs) / 1e6 * rate);
    }

    /** Advances the time, by which tasks progress, finish or stop because their lease has lapsed. */
    void advance(long newNowNs) {
        double elapsedMs = (newNowNs - nowNs) / 1e6;
        nowNs = newNowNs;
        lastUnreachableNs = reachable ? lastUnreachableNs : nowNs;
        for (TaskRun task : tasks.values()) {
            if (task.state != WorkerReport.State.RUNNING) {
                continue;
            }
            task.progressMs += elapsedMs;
            if (clockMs() >= task.leaseUntilMs) {
                end(task, WorkerReport.State.STOPPED);
            } else if (task.progressMs >= task.start.spec().durationMs()) {
                end(task, failing ? WorkerReport.State.FAILED : WorkerReport.State.FINISHED);
            }
        }
    }

    private void end(TaskRun task, WorkerReport.State state) {
        task.state = state;
        checker.ended(this, task.start, state, nowNs);
    }

    boolean wasUnreachableSince(long sinceNs) {
        return lastUnreachableNs >= sinceNs;
    }

    void die() {
        tasks.values().stream()
                .filter(task -> task.state == WorkerReport.State.RUNNING)
                .forEach(task -> end(task, WorkerReport.State.STOPPED));
        tasks.values().forEach(task -> checker.resultLost(task.start));
        tasks.clear();
        lastAttempts.clear();
        alive = false;
        reachable = true;
    }

    /** Reboots without tasks, recorded attempts and accepted epoch, and with the clock reset to its origin. */
    void boot() {
        alive = true;
        incarnation++;
        epoch = 0;
        bootNs = nowNs;
    }

    WorkerReport report() {
        List<WorkerReport.TaskReport> entries = new ArrayList<>();
        tasks.values()
                .forEach(task -> entries.add(new WorkerReport.TaskReport(
                        task.start.task(),
                        task.start.attempt(),
                        task.state,
                        "",
                        task.checkpointId,
                        task.start.allocated(),
                        0)));
        return new WorkerReport(name, clockMs(), epoch, entries, 0);
    }

    WorkerCall.Result call(WorkerCall call) {
        long callEpoch = epochOf(call);
        if (callEpoch < epoch) {
            return WorkerCall.Result.REFUSED;
        }
        epoch = callEpoch;
        if (call instanceof WorkerCall.Start start) {
            return start(start);
        }
        if (call instanceof WorkerCall.Renew renew) {
            for (WorkerCall.Lease lease : renew.leases()) {
                TaskRun task = find(lease.task(), lease.attempt());
                if (task != null && task.state == WorkerReport.State.RUNNING) {
                    task.leaseUntilMs = Math.max(task.leaseUntilMs, lease.leaseUntilWorkerClockMs());
                }
            }
        } else if (call instanceof WorkerCall.Checkpoint checkpoint) {
            TaskRun task = find(checkpoint.task(), checkpoint.attempt());
            if (task != null && task.state == WorkerReport.State.RUNNING) {
                task.checkpointId = checkpoint.checkpointId();
                checker.checkpointed(task.start, checkpoint.checkpointId(), task.progressMs);
                end(task, WorkerReport.State.CHECKPOINTED);
            }
        } else if (call instanceof WorkerCall.Stop stop) {
            // Records the stopped attempt, so that a start of it that arrives later has no effect.
            lastAttempts.merge(stop.task(), stop.attempt(), Math::max);
            TaskRun task = find(stop.task(), stop.attempt());
            if (task != null && task.state == WorkerReport.State.RUNNING) {
                end(task, WorkerReport.State.STOPPED);
            }
        } else if (call instanceof WorkerCall.Acknowledge acknowledge) {
            for (WorkerCall.Ended ended : acknowledge.ended()) {
                TaskRun task = find(ended.task(), ended.attempt());
                if (task != null && task.state != WorkerReport.State.RUNNING) {
                    tasks.remove(ended.task());
                    checker.acknowledged(task.start, task.state, task.checkpointId);
                }
            }
        }
        return WorkerCall.Result.DONE;
    }

    private WorkerCall.Result start(WorkerCall.Start start) {
        if (lastAttempts.getOrDefault(start.task(), 0) >= start.attempt()) {
            return find(start.task(), start.attempt()) == null ? WorkerCall.Result.REFUSED : WorkerCall.Result.DONE;
        }
        if (clockMs() > start.startBeforeWorkerClockMs()) {
            return WorkerCall.Result.LATE;
        }
        Resources used = start.allocated();
        for (TaskRun task : tasks.values()) {
            if (task.state == WorkerReport.State.RUNNING) {
                used = used.plus(task.start.allocated());
            }
        }
        checker.check(used.fitsIn(SIZE), name + " is overcommitted by " + start.task());
        lastAttempts.put(start.task(), start.attempt());
        TaskRun task = new TaskRun(start);
        task.leaseUntilMs = start.leaseUntilWorkerClockMs();
        task.progressMs = checker.started(name, start);
        tasks.put(start.task(), task);
        return WorkerCall.Result.DONE;
    }

    private TaskRun find(TaskId id, int attempt) {
        TaskRun task = tasks.get(id);
        return task != null && task.start.attempt() == attempt ? task : null;
    }

    private static long epochOf(WorkerCall call) {
        if (call instanceof WorkerCall.Start start) {
            return start.epoch();
        }
        if (call instanceof WorkerCall.Renew renew) {
            return renew.epoch();
        }
        if (call instanceof WorkerCall.Throttle throttle) {
            return throttle.epoch();
        }
        if (call instanceof WorkerCall.Checkpoint checkpoint) {
            return checkpoint.epoch();
        }
        if (call instanceof WorkerCall.Stop stop) {
            return stop.epoch();
        }
        return ((WorkerCall.Acknowledge) call).epoch();
    }
}
