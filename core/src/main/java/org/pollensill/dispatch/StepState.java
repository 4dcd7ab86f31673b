package org.pollensill.dispatch;

import java.util.ArrayList;
import java.util.List;

import org.pollensill.job.StepSpec;
import org.pollensill.job.Trait;

/** A step of one occurrence of a job in the leader's memory. */
final class StepState {

    final JobState job;
    final int occurrence;
    final int number;
    final StepSpec spec;
    final List<TaskState> tasks = new ArrayList<>();
    int done;
    boolean ready;

    final Tickets tickets = new Tickets();

    /** Since when a place for one of the tasks has been free, 0 while there is none. */
    long placeFreeSinceMs;

    StepState(JobState job, int occurrence, int number, StepSpec spec) {
        this.job = job;
        this.occurrence = occurrence;
        this.number = number;
        this.spec = spec;
        for (int i = 0; i < spec.count(); i++) {
            tasks.add(new TaskState(this, i));
        }
    }

    boolean complete() {
        return done == tasks.size();
    }

    /** Counts the tasks that no runner holds. */
    int waiting() {
        int waiting = 0;
        for (TaskState task : tasks) {
            if (task.phase == TaskState.Phase.WAITING) {
                waiting++;
            }
        }
        return waiting;
    }

    /** Returns whether a task may be placed now. */
    boolean hasWaiting(long nowMs) {
        for (TaskState task : tasks) {
            if (task.phase == TaskState.Phase.WAITING && nowMs >= task.notBeforeMs) {
                return true;
            }
        }
        return false;
    }

    /** Returns which part of the tasks runners hold. */
    double heldPart() {
        int held = 0;
        for (TaskState task : tasks) {
            if (task.held()) {
                held++;
            }
        }
        return (double) held / tasks.size();
    }

    /** Returns whether the tasks end by themselves and need room of their own. */
    boolean isShort() {
        return !spec.is(Trait.RESTART_ALWAYS) && !spec.is(Trait.FILLS);
    }

    /** Returns whether one more task may be taken away, by the step's own bound or by a part of its tasks. */
    boolean mayLoseOne(double mostAwayPart) {
        int bound = spec.serving().mayMiss();
        int most = bound > 0 ? bound : (int) Math.max(1, mostAwayPart * tasks.size());
        int away = 0;
        for (TaskState task : tasks) {
            if (!task.atWork()) {
                away++;
            }
        }
        return away < most;
    }

    /** Counts the tasks of this step that a runner holds. */
    int heldBy(RunnerState runner) {
        int count = 0;
        for (TaskState task : tasks) {
            if (task.runner == runner) {
                count++;
            }
        }
        return count;
    }
}
