package org.pollensill.batch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.pollensill.worker.Resources;
import org.pollensill.worker.Worker;
import org.pollensill.worker.WorkerClock;
import org.pollensill.worker.WorkerLease;

/** Placed attempts of a shard, with their starts, leases and ends. */
final class RunTable {

    /** Maximum lease that a former owner may have granted, regardless of the current settings. */
    private static final long MAX_FORMER_LEASE_MS = 30_000;

    /** Number of renewal intervals for which a worker is still renewed after its last report. */
    private static final long MAX_RENEWALS_WITHOUT_REPORT = 2;

    /** A longer gap between two ticks means that this process was paused. */
    private static final long MAX_TICK_GAP_NS = 1_000_000_000L;

    private final ShardContext context;
    private final Map<TaskId, Run> runs = new LinkedHashMap<>();
    private final Map<String, Set<Run>> runsByWorker = new HashMap<>();
    private final Map<String, Long> lastRenewalNs = new HashMap<>();
    private Optional<Long> formerOwnerResolvedNs = Optional.empty();
    private boolean hasTicked;
    private long lastTickNs;
    private long lapsesSuspendedUntilNs = Long.MIN_VALUE / 2;

    RunTable(ShardContext context) {
        this.context = context;
    }

    /** Adopts the placed tasks of a recovered state. They are assumed to be running. */
    void inherit(long nowNs) {
        for (Task task : context.state.placed()) {
            Worker worker = context.pool.worker(task.worker()).orElseGet(() -> addUnlisted(task.worker()));
            Run run = new Run(task, worker, nowNs);
            run.inherited = true;
            worker.capacity().record(task.id().toString(), task.allocated());
            register(run);
        }
    }

    /** Adds a worker that is not (yet) in the host list; it has no free capacity. */
    private Worker addUnlisted(String name) {
        Worker worker = Worker.of(name, "", "", Resources.NONE);
        worker.markUnlisted();
        context.pool.add(worker);
        return worker;
    }

    /** Updates whether the former owner has stopped renewing leases. */
    void formerOwnerResolved(boolean resolved, long nowNs) {
        if (!resolved) {
            formerOwnerResolvedNs = Optional.empty();
        } else if (formerOwnerResolvedNs.isEmpty()) {
            formerOwnerResolvedNs = Optional.of(nowNs);
        }
    }

    /** Places a task whose capacity is allocated already, and sends the start once the placement is durable. */
    void place(Task task, Worker worker, Resources allocated, long nowNs) {
        context.append(
                new LogRecord.Placed(task.id(), task.attempt() + 1, worker.name(), task.resumeFrom(), allocated));
        Run run = new Run(task, worker, nowNs);
        register(run);
        context.whenDurable(now -> send(run, now));
    }

    private void register(Run run) {
        runs.put(run.task.id(), run);
        runsByWorker
                .computeIfAbsent(run.worker.name(), name -> new LinkedHashSet<>())
                .add(run);
        JobSpec spec = run.task.job().spec();
        context.pool.placed(run.worker, run.task.job().id(), spec.kind());
    }

    private void send(Run run, long nowNs) {
        if (runs.get(run.task.id()) != run) {
            return;
        }
        if (run.task.job().state() != JobState.ACTIVE) {
            requeue(run, "the job ended before the start was sent");
            return;
        }
        if (!context.isConfirmed()) {
            requeue(run, "ownership was not confirmed when the start was due");
            return;
        }
        Optional<WorkerClock> clock = run.worker.clock();
        if (clock.isEmpty()) {
            requeue(run, "the worker has not reported yet");
            return;
        }
        long workerNowMs = clock.get().estimateMs(nowNs);
        run.sent = true;
        run.sentNs = nowNs;
        run.startBeforeWorkerClockMs = workerNowMs + context.settings.startWindowMs();
        run.extendLease(workerNowMs + context.settings.leaseMs());
        Task task = run.task;
        context.call(
                run,
                new WorkerCall.Start(
                        task.id(),
                        run.attempt,
                        context.epoch(),
                        run.startBeforeWorkerClockMs,
                        workerNowMs + context.settings.leaseMs(),
                        task.job().spec(),
                        task.allocated(),
                        task.resumeFrom()));
    }

    /** Processes a worker's answer to a start or a stop of a task. */
    void processAnswer(WorkerCall call, WorkerCall.Result result) {
        if (call instanceof WorkerCall.Start start) {
            find(start.task(), start.attempt()).ifPresent(run -> processStartResult(run, result));
        } else if (call instanceof WorkerCall.Stop stop && result == WorkerCall.Result.DONE) {
            find(stop.task(), stop.attempt()).ifPresent(run -> run.stopConfirmed = true);
        }
    }

    private void processStartResult(Run run, WorkerCall.Result result) {
        if (result == WorkerCall.Result.DONE) {
            run.startResolved = true;
        } else if (result == WorkerCall.Result.LATE) {
            requeue(run, "the start reached the worker after its deadline");
        } else if (result == WorkerCall.Result.NOT_SENT) {
            requeue(run, "the start was not sent");
        }
    }

    /** Renews leases and requeues tasks whose lease has definitely lapsed. */
    void tick(long nowNs) {
        for (Worker worker : List.copyOf(context.pool.workers())) {
            Long lastNs = lastRenewalNs.get(worker.name());
            boolean due = lastNs == null || nowNs - lastNs >= context.settings.renewIntervalMs() * 1_000_000;
            if (due && !isUnresponsive(worker, nowNs)) {
                renew(worker, nowNs);
            }
        }
        // After a pause of this process, lapses wait for new reports: the tasks may have ended before their lease did.
        if (hasTicked && nowNs - lastTickNs > MAX_TICK_GAP_NS) {
            lapsesSuspendedUntilNs =
                    nowNs + MAX_RENEWALS_WITHOUT_REPORT * context.settings.renewIntervalMs() * 1_000_000;
        }
        hasTicked = true;
        lastTickNs = nowNs;
        if (nowNs - lapsesSuspendedUntilNs < 0) {
            return;
        }
        for (Run run : List.copyOf(runs.values())) {
            if ((run.sent || run.inherited) && hasLapsed(run, nowNs)) {
                context.event(
                        3104,
                        "task " + run.task.id() + " attempt " + run.attempt + ": lease on " + run.worker.name()
                                + " has lapsed");
                requeue(run, "the worker stopped reporting and the lease lapsed");
            }
        }
    }

    /**
     * Returns whether a worker has stopped reporting. Renewals may arrive although no report comes back, so renewing
     * such a worker indefinitely would keep its tasks there forever.
     */
    private boolean isUnresponsive(Worker worker, long nowNs) {
        long timeoutNs = MAX_RENEWALS_WITHOUT_REPORT * context.settings.renewIntervalMs() * 1_000_000;
        return worker.clock().isEmpty() || nowNs - worker.clock().get().receivedNs() >= timeoutNs;
    }

    /** Renews the leases of a worker and makes it accept this owner's epoch. */
    void renew(Worker worker, long nowNs) {
        if (worker.clock().isEmpty()) {
            return;
        }
        lastRenewalNs.put(worker.name(), nowNs);
        long untilWorkerClockMs = worker.clock().get().estimateMs(nowNs) + context.settings.leaseMs();
        List<WorkerCall.Lease> leases = new ArrayList<>();
        for (Run run : runsOn(worker.name())) {
            boolean mayRun = run.sent || run.inherited;
            if (mayRun && !run.restarted && run.task.job().state() == JobState.ACTIVE) {
                run.extendLease(untilWorkerClockMs);
                leases.add(new WorkerCall.Lease(run.task.id(), run.attempt, untilWorkerClockMs));
            }
        }
        if (!leases.isEmpty() || worker.epoch() < context.epoch()) {
            context.effects.add(new Effect.CallWorker(
                    worker.name(), worker.address(), new WorkerCall.Renew(context.epoch(), leases)));
        }
    }

    private boolean hasLapsed(Run run, long nowNs) {
        boolean isOwnLeaseLapsed = run.lease.isPresent() && run.lease.get().hasLapsed(run.worker.clock(), nowNs);
        if (!run.inherited) {
            return isOwnLeaseLapsed;
        }
        if (run.lease.isPresent() && !isOwnLeaseLapsed || formerOwnerResolvedNs.isEmpty()) {
            return false;
        }
        long formerLeaseMs = Math.max(context.settings.leaseMs(), MAX_FORMER_LEASE_MS);
        return nowNs - formerOwnerResolvedNs.get() >= WorkerClock.lapseBoundNs(formerLeaseMs);
    }

    /** Processes a worker's acceptance of this owner's epoch, which fences off a former owner's starts and renewals. */
    void adopt(Run run, long workerClockMs) {
        run.inherited = false;
        run.sent = true;
        run.startResolved = true;
        long formerLeaseMs = Math.max(context.settings.leaseMs(), MAX_FORMER_LEASE_MS);
        run.extendLease(workerClockMs + WorkerClock.lapseBoundNs(formerLeaseMs) / 1_000_000);
    }

    /** Processes a reset of a worker's clock, which makes the lease's end in the old clock meaningless. */
    void workerRestarted(Run run, long workerClockMs) {
        run.restarted = true;
        run.lease = Optional.of(
                new WorkerLease(workerClockMs + WorkerClock.lapseBoundNs(context.settings.leaseMs()) / 1_000_000));
    }

    /** Records that an attempt is definitely not running, and requeues its task. */
    void requeue(Run run, String reason) {
        end(run, new LogRecord.Unplaced(run.task.id(), run.attempt, reason));
    }

    /** Records the end of an attempt and releases its capacity. */
    void end(Run run, LogRecord logRecord) {
        context.append(logRecord);
        runs.remove(run.task.id(), run);
        Set<Run> workerRuns = runsByWorker.get(run.worker.name());
        workerRuns.remove(run);
        if (workerRuns.isEmpty()) {
            runsByWorker.remove(run.worker.name());
        }
        run.worker.capacity().release(run.task.id().toString());
        context.pool.unplaced(
                run.worker, run.task.job().id(), run.task.job().spec().kind());
    }

    Optional<Run> find(TaskId task, int attempt) {
        Run run = runs.get(task);
        return run != null && run.attempt == attempt ? Optional.of(run) : Optional.empty();
    }

    List<Run> runsOn(String worker) {
        return List.copyOf(runsByWorker.getOrDefault(worker, Set.of()));
    }

    Collection<Run> runs() {
        return runs.values();
    }
}
