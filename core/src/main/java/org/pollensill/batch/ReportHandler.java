package org.pollensill.batch;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.pollensill.worker.Worker;
import org.pollensill.worker.WorkerClock;

/** Reconciles workers' reports with the log: detects attempts that run, ended, never started or must be stopped. */
final class ReportHandler {

    /** A job is stopped once it has failed on this many healthy workers without a success in between. */
    private static final int MAX_FAILED_WORKERS_PER_JOB = 3;

    /** A job is stopped once one of its tasks has failed this often on healthy workers. Other tasks do not matter. */
    private static final int MAX_TASK_FAILURES = 6;

    private static final long STOP_RETRY_INTERVAL_NS = 1_000_000_000L;
    private static final long NANOS_PER_MS = 1_000_000;

    private final ShardContext context;
    private final RunTable runs;
    private final Dispatcher dispatcher;

    ReportHandler(ShardContext context, RunTable runs, Dispatcher dispatcher) {
        this.context = context;
        this.runs = runs;
        this.dispatcher = dispatcher;
    }

    void handle(Worker worker, WorkerReport report, long nowNs) {
        boolean restarted = worker.updateClock(report.workerClockMs(), report.epoch(), nowNs);
        boolean epochAccepted = report.epoch() >= context.epoch();
        if (restarted) {
            context.event(3105, "worker " + worker.name() + " has restarted");
            runs.runsOn(worker.name()).forEach(run -> runs.workerRestarted(run, report.workerClockMs()));
        }
        Set<Run> listed = new HashSet<>();
        List<WorkerCall.Ended> toAcknowledge = new ArrayList<>();
        for (WorkerReport.TaskReport entry : report.tasks()) {
            Optional<Run> run =
                    runs.find(entry.task(), entry.attempt()).filter(candidate -> candidate.worker == worker);
            if (run.isPresent()) {
                listed.add(run.get());
                handleEntry(run.get(), entry, report, nowNs);
            } else if (entry.state() == WorkerReport.State.RUNNING) {
                context.effects.add(new Effect.CallWorker(
                        worker.name(),
                        worker.address(),
                        new WorkerCall.Stop(context.epoch(), entry.task(), entry.attempt())));
            } else if (isLateCheckpoint(entry)) {
                context.append(new LogRecord.CheckpointFound(entry.task(), entry.attempt(), entry.checkpointId()));
            } else if (context.state.task(entry.task()).map(context::isDurable).orElse(true)) {
                toAcknowledge.add(new WorkerCall.Ended(entry.task(), entry.attempt()));
            }
        }
        for (Run run : runs.runsOn(worker.name())) {
            if (!listed.contains(run)) {
                handleMissing(run, report, epochAccepted, nowNs);
            } else if (run.inherited && epochAccepted) {
                runs.adopt(run, report.workerClockMs());
            }
        }
        if (!toAcknowledge.isEmpty()) {
            context.effects.add(new Effect.CallWorker(
                    worker.name(), worker.address(), new WorkerCall.Acknowledge(context.epoch(), toAcknowledge)));
        }
        if (!epochAccepted) {
            runs.renew(worker, nowNs);
        }
    }

    /** Returns whether an entry confirms the checkpoint requested by the eviction of a task that is queued by now. */
    private boolean isLateCheckpoint(WorkerReport.TaskReport entry) {
        return entry.state() == WorkerReport.State.CHECKPOINTED
                && !entry.checkpointId().isEmpty()
                && context.state
                        .task(entry.task())
                        .filter(task -> task.state() == TaskState.QUEUED && task.attempt() == entry.attempt())
                        .filter(task -> task.checkpointId().equals(entry.checkpointId()))
                        .isPresent();
    }

    private void handleEntry(Run run, WorkerReport.TaskReport entry, WorkerReport report, long nowNs) {
        run.startResolved = true;
        run.restarted = false;
        switch (entry.state()) {
            case RUNNING -> running(run, entry, report, nowNs);
            case FINISHED -> {
                run.worker.quarantine().finished();
                runs.end(run, new LogRecord.Finished(run.task.id(), run.attempt));
            }
            case FAILED -> failed(run, entry.exitReason(), nowNs);
            case STOPPED ->
                runs.requeue(run, "stopped" + (entry.exitReason().isEmpty() ? "" : ": " + entry.exitReason()));
            case CHECKPOINTED -> checkpointed(run, entry.checkpointId());
            default -> throw new IllegalStateException("unknown state " + entry.state());
        }
    }

    private void running(Run run, WorkerReport.TaskReport entry, WorkerReport report, long nowNs) {
        if (!run.running) {
            run.running = true;
            run.runningSinceNs = nowNs;
        }
        run.usage = entry.usage();
        long runningMs = (nowNs - run.runningSinceNs) / NANOS_PER_MS;
        context.usage.observe(run.task.job().spec().kind(), entry.usage(), report.usageAgeMs(), runningMs);
        requestStop(run, nowNs);
    }

    /** Requests the stop or checkpoint that the log requires, and repeats the request while the task still runs. */
    void requestStop(Run run, long nowNs) {
        boolean ended = run.task.job().state() != JobState.ACTIVE;
        if (!ended && run.task.state() != TaskState.EVICTING || !context.isDurable(run.task)) {
            return;
        }
        if (run.task.job().position() > context.log.committedPosition()) {
            return;
        }
        if (run.stopRequested && nowNs - run.stopRequestedNs < STOP_RETRY_INTERVAL_NS) {
            return;
        }
        run.stopRequested = true;
        run.stopRequestedNs = nowNs;
        TaskId id = run.task.id();
        if (ended || !run.task.job().spec().checkpointable()) {
            context.call(run, new WorkerCall.Stop(context.epoch(), id, run.attempt));
        } else {
            context.call(run, new WorkerCall.Checkpoint(context.epoch(), id, run.attempt, run.task.checkpointId()));
        }
    }

    private void checkpointed(Run run, String checkpointId) {
        if (run.task.state() == TaskState.EVICTING && run.task.checkpointId().equals(checkpointId)) {
            context.event(
                    3102,
                    "task " + run.task.id() + " attempt " + run.attempt + " stopped at checkpoint " + checkpointId);
            runs.end(run, new LogRecord.Checkpointed(run.task.id(), run.attempt, checkpointId));
        } else {
            runs.requeue(run, "stopped at checkpoint " + checkpointId + " that was not requested");
        }
    }

    private void failed(Run run, String reason, long nowNs) {
        Job job = run.task.job();
        Worker worker = run.worker;
        boolean quarantined = worker.quarantine().failed(job.id(), nowNs, context.random);
        String healthyWorker = worker.quarantine().isActive() ? "" : worker.name();
        runs.end(run, new LogRecord.Failed(run.task.id(), run.attempt, healthyWorker, reason));
        if (quarantined) {
            context.event(3201, "worker " + worker.name() + " is quarantined: tasks of 3 jobs in a row failed there");
            context.append(new LogRecord.WorkerQuarantined(worker.name()));
        }
        dispatcher.delayRetry(job, run.task.failures(), nowNs);
        if (job.state() != JobState.ACTIVE) {
            return;
        }
        if (job.failedOn().size() >= MAX_FAILED_WORKERS_PER_JOB || run.task.failures() >= MAX_TASK_FAILURES) {
            String failure =
                    "task " + run.task.id() + " failed on healthy workers " + job.failedOn() + ", last: " + reason;
            context.event(3202, "job " + job.id() + " is stopped: " + failure);
            context.append(new LogRecord.JobEnded(job.id(), JobState.FAILED, failure));
        }
    }

    /** Handles an attempt that is missing from its worker's report. */
    private void handleMissing(Run run, WorkerReport report, boolean epochAccepted, long nowNs) {
        if (run.restarted) {
            // The daemon sends no start after the window, and the confirmed stop ended any start that arrived before.
            long windowNs = WorkerClock.lapseBoundNs(context.settings.startWindowMs());
            if (run.stopConfirmed && nowNs - run.sentNs >= windowNs) {
                runs.requeue(run, "the worker restarted");
            } else if (!run.stopRequested || nowNs - run.stopRequestedNs >= STOP_RETRY_INTERVAL_NS) {
                run.stopRequested = true;
                run.stopRequestedNs = nowNs;
                context.call(run, new WorkerCall.Stop(context.epoch(), run.task.id(), run.attempt));
            }
            return;
        }
        if (run.inherited) {
            // A worker that accepted this epoch rejects the former owner's starts, so the attempt can no longer start.
            if (epochAccepted) {
                runs.requeue(run, "not running when the shard was taken over");
            }
            return;
        }
        if (run.sent && report.workerClockMs() > run.startBeforeWorkerClockMs) {
            runs.requeue(run, run.running ? "no longer reported by the worker" : "the start did not take effect");
        }
    }
}
