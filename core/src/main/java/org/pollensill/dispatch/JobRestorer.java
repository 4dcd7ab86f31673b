package org.pollensill.dispatch;

import java.util.HashMap;
import java.util.Map;

import org.pollensill.job.JobRecord;
import org.pollensill.job.ProgressLayout;
import org.pollensill.job.TaskRecord;
import org.pollensill.job.Trait;

/** Restores the progress of jobs that a former leader has stored. */
final class JobRestorer {

    private final PendingChanges pendingChanges;
    private final DispatchListener listener;

    JobRestorer(PendingChanges pendingChanges, DispatchListener listener) {
        this.pendingChanges = pendingChanges;
        this.listener = listener;
    }

    /** Restores the progress of a job. */
    void restore(JobState job, JobRecord record, Fleet fleet, long nowMs) {
        job.status = record.status();
        job.recordedStatus = record.status();
        record.furtherRows().forEach(job.furtherRows::set);
        job.storedInRanges = !record.furtherRows().isEmpty() && rangesComplete(job, record);
        if (job.status.isFinal()
                && !(job.furtherRows.isEmpty() && record.tasks().isEmpty())) {
            // A former leader ended before it could delete them, or has recorded the runs that it was stopping.
            pendingChanges.changed(job);
        }
        restoreComplete(job, record);
        for (TaskRecord stored : record.tasks()) {
            boolean known = job.contains(stored.occurrence(), stored.step(), stored.index());
            if (!known || job.isComplete(stored.occurrence())) {
                continue;
            }
            StepState step = job.open(stored.occurrence()).steps.get(stored.step());
            TaskState task = step.tasks.get(stored.index());
            task.run = stored.run();
            task.failures = stored.failures();
            task.checkpoint = stored.checkpoint();
            // A completed task whose later run was being stopped keeps its runner until that has ended.
            task.completed = stored.done() && stored.assignedRunner().isPresent();
            if (stored.done() && !task.completed) {
                task.phase = TaskState.Phase.DONE;
                step.retire(task);
                continue;
            }
            if (stored.assignedRunner().isPresent()) {
                TaskRecord.RunnerIncarnation assignedRunner =
                        stored.assignedRunner().get();
                RunnerState runner = fleet.getOrCreate(assignedRunner.runnerId(), assignedRunner.incarnationStartMs());
                if (runner.incarnationStartMs != assignedRunner.incarnationStartMs()) {
                    // Orders name the runner alone, so the run may be at work in either incarnation.
                    fleet.extendInheritedLease(
                            runner, Math.max(runner.incarnationStartMs, assignedRunner.incarnationStartMs()));
                    listener.incarnationMismatch(
                            task.name,
                            task.run,
                            runner.id,
                            assignedRunner.incarnationStartMs(),
                            runner.incarnationStartMs);
                }
                task.phase = TaskState.Phase.ORDERED;
                task.setRunner(runner);
                task.placedIncarnationStartMs = assignedRunner.incarnationStartMs();
                task.startedAtMs = nowMs;
                task.progressAtMs = nowMs;
                task.paceChangedAtMs = nowMs;
                task.paceUnknown = step.spec.hasTrait(Trait.FILLS);
                task.starvedSinceMs = nowMs;
                // A runner that reports to this leader already refuses orders of former leaders.
                task.confirmedAtRenewal = RunOwnership.ANY_RENEWAL;
                task.stopping = task.completed || job.status.isFinal();
                runner.add(task);
            }
        }
    }

    /** Restores the occurrences of a scheduled job of which all tasks are done, without opening them. */
    private static void restoreComplete(JobState job, JobRecord record) {
        if (!job.request.schedule().isScheduled()) {
            return;
        }
        Map<Integer, short[]> runsByOccurrence = new HashMap<>();
        Map<Integer, Integer> doneByOccurrence = new HashMap<>();
        for (TaskRecord stored : record.tasks()) {
            boolean done = job.contains(stored.occurrence(), stored.step(), stored.index())
                    && stored.done()
                    && stored.assignedRunner().isEmpty();
            if (done) {
                int position = job.ordinal(0, stored.step(), stored.index());
                runsByOccurrence
                                .computeIfAbsent(stored.occurrence(), added -> new short[job.tasksPerOccurrence()])[
                                position] =
                        (short) Math.min(Short.MAX_VALUE, stored.run());
                doneByOccurrence.merge(stored.occurrence(), 1, Integer::sum);
            }
        }
        doneByOccurrence.forEach((occurrence, done) -> {
            if (done == job.tasksPerOccurrence()) {
                job.restoreComplete(occurrence, runsByOccurrence.get(occurrence));
            }
        });
    }

    /**
     * Lets the long-running tasks that were placed before count as overdue until a report shows that they run: how long
     * they have waited under former leaders is not known, and those may have let others overtake them for as long as is
     * allowed.
     */
    static void inheritWaits(JobState job, long nowMs) {
        for (StepState step : job.openSteps()) {
            if (!step.spec.hasTrait(Trait.RESTART_ALWAYS)) {
                continue;
            }
            for (TaskState task : step.tasks) {
                if (task.run > 0) {
                    task.withoutRunSinceMs = nowMs - CapacityReservations.MAX_OVERTAKEN_MS;
                }
            }
        }
    }

    /** Returns whether each task that is recorded lies in row 0 or in a further row that is stored. */
    private static boolean rangesComplete(JobState job, JobRecord record) {
        for (TaskRecord stored : record.tasks()) {
            if (!job.contains(stored.occurrence(), stored.step(), stored.index())) {
                continue;
            }
            int row = ProgressLayout.rowOf(job.ordinal(stored.occurrence(), stored.step(), stored.index()));
            if (row > 0 && !record.furtherRows().contains(row)) {
                return false;
            }
        }
        return true;
    }
}
