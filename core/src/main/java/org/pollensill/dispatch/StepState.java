package org.pollensill.dispatch;

import org.pollensill.job.StepSpec;
import org.pollensill.job.TaskName;
import org.pollensill.job.Trait;

/** In-memory state of a step of one occurrence of a job. */
final class StepState {

    final JobState job;
    final OccurrenceState occurrence;
    final int number;
    final StepSpec spec;
    final StepTasks tasks;
    int done;

    /** Number of runs beyond the first of the tasks that are done. */
    int repeatedRunsOfDone;

    /** Longest time for which a task that is done had waited, and its index. */
    long longestWaitOfDoneMs;

    int longestWaitingDoneIndex;

    /** Time since which the tasks that were never placed could start. */
    long readySinceMs;

    /** Value of {@link PlacementCounts#ofOtherSteps} at that time. */
    long othersPlacedWhenReady;

    boolean ready;

    final Tickets tickets = new Tickets();

    /** Time since which a runner has had capacity for one of the tasks, 0 while none has. */
    long slotFreeSinceMs;

    /** Time before which no runner is sought for overdue tasks of the step, since none was found. */
    long nextOverdueSearchAtMs;

    /** Time before which no tasks are sought that could be preempted for the step. */
    long nextPreemptionSearchAtMs;

    /** Number of placements of tasks of this step by this leader. */
    long placements;

    /** Time of the last explanation why a task waits. */
    long explainedAtMs = Long.MIN_VALUE / 2;

    StepState(OccurrenceState occurrence, int number, StepSpec spec, int firstOrdinal) {
        this.job = occurrence.job;
        this.occurrence = occurrence;
        this.number = number;
        this.spec = spec;
        this.tasks = new StepTasks(this, firstOrdinal);
    }

    TaskName nameOf(int index) {
        return new TaskName(job.request.id(), occurrence.index, number, index);
    }

    boolean complete() {
        return done == tasks.size();
    }

    /** Records that a task is done, and drops what is kept of it alone. */
    void retire(TaskState task) {
        done++;
        if (complete()) {
            occurrence.stepCompleted();
        }
        repeatedRunsOfDone += Math.max(0, task.run - 1);
        if (task.longestWaitMs > longestWaitOfDoneMs) {
            longestWaitOfDoneMs = task.longestWaitMs;
            longestWaitingDoneIndex = task.name.index();
        }
        tasks.retire(task);
    }

    /** Returns the number of tasks without a runner. */
    int waiting() {
        int waiting = tasks.untouched();
        for (TaskState task : tasks) {
            if (task.phase == TaskState.Phase.WAITING) {
                waiting++;
            }
        }
        return waiting;
    }

    /** Returns whether a task is waiting and its retry delay has passed. */
    boolean hasPlaceableTask(long nowMs) {
        if (tasks.untouched() > 0) {
            return true;
        }
        for (TaskState task : tasks) {
            if (task.isPlaceable(nowMs)) {
                return true;
            }
        }
        return false;
    }

    /** Returns the fraction of the tasks that are on runners. */
    double heldFraction() {
        int held = 0;
        for (TaskState task : tasks) {
            if (task.hasRunner()) {
                held++;
            }
        }
        return (double) held / tasks.size();
    }

    /** Returns whether the tasks run to completion on reserved processors. */
    boolean runsToCompletion() {
        return !spec.hasTrait(Trait.RESTART_ALWAYS) && !spec.hasTrait(Trait.FILLS);
    }

    /** Returns the number of tasks of this step on a runner. */
    int countOn(RunnerState runner) {
        int count = 0;
        for (TaskState task : tasks) {
            if (task.runner == runner) {
                count++;
            }
        }
        return count;
    }

    /** Returns the number of tasks of this step for which capacity of a runner is withheld. */
    int countClaimsOn(RunnerState runner) {
        int count = 0;
        for (TaskState task : tasks) {
            if (task.claimedRunner == runner) {
                count++;
            }
        }
        return count;
    }
}
