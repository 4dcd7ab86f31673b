package org.pollensill.dispatch;

import java.util.ArrayList;
import java.util.List;

import org.pollensill.job.StepSpec;

/** A step of one occurrence of a job in the leader's memory. */
final class StepState {

    final JobState job;
    final int occurrence;
    final int number;
    final StepSpec spec;
    final List<TaskState> tasks = new ArrayList<>();
    int done;
    boolean ready;

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
