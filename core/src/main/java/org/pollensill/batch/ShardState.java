package org.pollensill.batch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;

import org.pollensill.worker.Resources;

/** Jobs and tasks of a shard, built by applying its log records in order. */
final class ShardState {

    private static final Comparator<Job> BY_URGENCY_AND_AGE =
            Comparator.<Job>comparingInt(job -> job.spec().urgency()).thenComparingLong(Job::number);

    private final Map<String, Job> jobs = new LinkedHashMap<>();
    private final Map<String, String> idsByKey = new HashMap<>();
    private final Map<String, TreeSet<Job>> jobsWithQueuedTasks = new TreeMap<>();
    private final Map<String, Resources> usage = new HashMap<>();
    private long nextJobNumber = 1;

    /** Applies the record at a position of the log. Throws IllegalStateException if it does not match the state. */
    void apply(LogRecord logRecord, long position) {
        if (logRecord instanceof LogRecord.Submitted r) {
            submit(r).changedAt(position);
        } else if (logRecord instanceof LogRecord.JobEnded r) {
            endJob(r, position);
        } else if (logRecord instanceof LogRecord.WorkerQuarantined r) {
            jobs.values().forEach(job -> job.failedOn().remove(r.worker()));
        } else if (logRecord instanceof LogRecord.JobRemoved r) {
            Job job = jobs.remove(r.jobId());
            idsByKey.remove(keyOf(job.spec()));
        } else {
            Task task = applyToTask(logRecord);
            task.changedAt(position);
            if (task.job().isEnded()) {
                task.job().changedAt(position);
            }
        }
    }

    private Job submit(LogRecord.Submitted r) {
        Job job = new Job(r.jobId(), r.submittedMs(), r.spec());
        jobs.put(job.id(), job);
        idsByKey.put(keyOf(job.spec()), job.id());
        nextJobNumber = Math.max(nextJobNumber, job.number() + 1);
        waitingOf(job).add(job);
        return job;
    }

    private Task applyToTask(LogRecord logRecord) {
        if (logRecord instanceof LogRecord.Placed r) {
            Task task = requireTask(r.task(), r.attempt() - 1, false);
            Job job = task.job();
            job.dequeue(task);
            if (job.queued().isEmpty()) {
                waitingOf(job).remove(job);
            }
            job.updateCounts(1, 0);
            usage.merge(job.spec().team(), r.allocated(), Resources::plus);
            task.placed(r);
            return task;
        }
        if (logRecord instanceof LogRecord.Unplaced r) {
            Task task = unplace(requireTask(r.task(), r.attempt(), true));
            requeueOrEndTask(task, () -> task.queued(r.reason()));
            return task;
        }
        if (logRecord instanceof LogRecord.EvictionBegun r) {
            Task task = requireTask(r.task(), r.attempt(), true);
            task.evicting(r.checkpointId(), r.reason());
            return task;
        }
        if (logRecord instanceof LogRecord.Checkpointed r) {
            Task task = unplace(requireTask(r.task(), r.attempt(), true));
            requeueOrEndTask(task, () -> task.checkpointed(r.checkpointId()));
            return task;
        }
        if (logRecord instanceof LogRecord.CheckpointFound r) {
            Task task = requireTask(r.task(), r.attempt(), false);
            task.checkpointFound(r.checkpointId());
            return task;
        }
        if (logRecord instanceof LogRecord.Finished r) {
            Task task = unplace(requireTask(r.task(), r.attempt(), true));
            task.job().failedOn().clear();
            task.ended(TaskState.FINISHED, "finished");
            task.job().updateCounts(0, 1);
            return task;
        }
        LogRecord.Failed r = (LogRecord.Failed) logRecord;
        Task task = unplace(requireTask(r.task(), r.attempt(), true));
        if (!r.healthyWorker().isEmpty()) {
            task.failed();
            task.job().failedOn().add(r.healthyWorker());
        }
        requeueOrEndTask(task, () -> task.queued("failed: " + r.reason()));
        return task;
    }

    private void endJob(LogRecord.JobEnded r, long position) {
        Job job = jobs.get(r.jobId());
        job.end(r.state(), r.reason());
        job.changedAt(position);
        waitingOf(job).remove(job);
        for (Task task : List.copyOf(job.queued())) {
            job.dequeue(task);
            task.ended(endStateOf(job), r.reason());
            task.changedAt(position);
            job.updateCounts(0, 1);
        }
    }

    private void requeueOrEndTask(Task task, Runnable requeue) {
        Job job = task.job();
        requeue.run();
        if (job.state() == JobState.ACTIVE) {
            job.enqueue(task);
            waitingOf(job).add(job);
            return;
        }
        task.ended(endStateOf(job), job.reason());
        job.updateCounts(0, 1);
    }

    private Task unplace(Task task) {
        task.job().updateCounts(-1, 0);
        usage.merge(task.job().spec().team(), task.allocated(), Resources::minus);
        return task;
    }

    private static TaskState endStateOf(Job job) {
        return job.state() == JobState.FAILED ? TaskState.FAILED : TaskState.CANCELLED;
    }

    private Task requireTask(TaskId id, int attempt, boolean placed) {
        Task task = task(id).orElseThrow(() -> new IllegalStateException("task " + id + " does not exist"));
        boolean matches = placed ? task.state().isPlaced() : task.state() == TaskState.QUEUED;
        if (!matches || task.attempt() != attempt) {
            throw new IllegalStateException("task " + id + " is " + task.state() + " at attempt " + task.attempt()
                    + ", but the record is for attempt " + attempt);
        }
        return task;
    }

    private TreeSet<Job> waitingOf(Job job) {
        return jobsWithQueuedTasks.computeIfAbsent(job.spec().team(), team -> new TreeSet<>(BY_URGENCY_AND_AGE));
    }

    private static String keyOf(JobSpec spec) {
        return spec.team() + "/" + spec.key();
    }

    Optional<Job> jobByKey(JobSpec spec) {
        return Optional.ofNullable(idsByKey.get(keyOf(spec))).map(jobs::get);
    }

    Optional<Job> job(String id) {
        return Optional.ofNullable(jobs.get(Objects.requireNonNull(id, "id is null")));
    }

    Optional<Task> task(TaskId id) {
        return job(id.jobId())
                .filter(job -> id.index() >= 0 && id.index() < job.tasks().size())
                .map(job -> job.tasks().get(id.index()));
    }

    Collection<Job> jobs() {
        return jobs.values();
    }

    /** Returns the jobs with queued tasks by team, sorted by urgency and age within a team. */
    Map<String, TreeSet<Job>> jobsWithQueuedTasks() {
        return jobsWithQueuedTasks;
    }

    Resources usage(String team) {
        return usage.getOrDefault(team, Resources.NONE);
    }

    long nextJobNumber() {
        return nextJobNumber;
    }

    /** Returns all placed tasks, including those that are being evicted. */
    List<Task> placed() {
        List<Task> placed = new ArrayList<>();
        for (Job job : jobs.values()) {
            if (job.placedTasks() == 0) {
                continue;
            }
            for (Task task : job.tasks()) {
                if (task.state().isPlaced()) {
                    placed.add(task);
                }
            }
        }
        return placed;
    }

    /** Restores the next job number from a snapshot. */
    void restoreNextJobNumber(long number) {
        nextJobNumber = Math.max(nextJobNumber, number);
    }

    /** Restores a job's end from a snapshot. Its tasks must be restored first. */
    void restoreEnd(Job job, JobState state, String reason) {
        job.end(state, reason);
        waitingOf(job).remove(job);
    }

    /** Restores a task that is no longer in its initial state from a snapshot. */
    void restoreTask(Task task, Runnable restore) {
        Job job = task.job();
        restore.run();
        if (task.state() == TaskState.QUEUED) {
            return;
        }
        job.dequeue(task);
        if (task.state().isPlaced()) {
            job.updateCounts(1, 0);
            usage.merge(job.spec().team(), task.allocated(), Resources::plus);
        } else {
            job.updateCounts(0, 1);
        }
        if (job.queued().isEmpty()) {
            waitingOf(job).remove(job);
        }
    }
}
