package org.pollensill.dispatch;

import java.util.Optional;

import org.pollensill.job.TaskName;
import org.pollensill.job.TaskRecord;

/** A task in the leader's memory. */
final class TaskState {

    /** Where a task is on its way. */
    enum Phase {
        /** No runner holds it. */
        WAITING,
        /** A runner is chosen; the record is not durable yet. */
        PLACED,
        /** The record is durable; the start may have been sent. */
        ORDERED,
        /** The runner has confirmed the run. */
        RUNNING,
        /** It has ended well. */
        DONE
    }

    /** Pace of a task that works without restraint. */
    static final int FULL_PACE = 100;

    final StepState step;
    final TaskName name;
    Phase phase = Phase.WAITING;
    int run;
    int failures;
    String checkpoint = "";
    /** The runner that holds the task in phases PLACED to RUNNING. */
    RunnerState runner;

    boolean stopping;
    long stopSentAtMs;
    /** Number of the last hold that was sent before the run was confirmed; later reports must list the run. */
    long confirmedAtHold;

    int startAttempts;
    long readySinceMs;
    long notBeforeMs;
    String avoidRunner = "";
    long startedAtMs;
    int percent;
    long progressAtMs;
    int pace = FULL_PACE;
    long paceChangedAtMs;
    /** Since when the pace is so low that the task hardly works. */
    long hardlyWorksSinceMs;

    /** How hard a task that fills presses at present, as a part of the most. */
    double intensity = 1;

    /** Slack of a serving task without tasks that fill, as last measured. */
    double idleSlack;

    long idleSlackAtMs = Long.MIN_VALUE / 2;

    TaskState(StepState step, int index) {
        this.step = step;
        this.name = new TaskName(step.job.request.id(), step.occurrence, step.number, index);
    }

    /** Returns whether the task serves users of its own under a bound of its tail. */
    boolean serves() {
        return step.spec.serving().targetTailMs() > 0;
    }

    String image() {
        return step.spec.serving().image().orElse("");
    }

    /** Returns the task's share of a runner's processors. */
    double share(RunnerState on) {
        return (double) step.spec.need().processorsMillicores()
                / Math.max(1, on.capacity().processorsMillicores());
    }

    /** Returns the part of the share by which the task presses at present when it works at full pace. */
    double pressingShare(RunnerState on) {
        return share(on) * intensity;
    }

    /** Returns whether a task that lasts is fully at work. */
    boolean atWork() {
        return phase == Phase.RUNNING && !stopping && percent >= 100;
    }

    boolean held() {
        return runner != null;
    }

    void placeOn(RunnerState chosen, long nowMs) {
        run++;
        phase = Phase.PLACED;
        stopping = false;
        startAttempts = 0;
        percent = 0;
        pace = FULL_PACE;
        intensity = 1;
        paceChangedAtMs = nowMs;
        startedAtMs = nowMs;
        idleSlackAtMs = Long.MIN_VALUE / 2;
        progressAtMs = nowMs;
        runner = chosen;
        chosen.add(this);
        if (chosen.failures >= RunnerHealth.FAILURES_TO_SET_ASIDE) {
            chosen.trial = this;
        }
    }

    /** Takes the task off its runner; it waits again unless it is done. */
    void release() {
        if (runner != null) {
            runner.remove(this);
            runner = null;
        }
        stopping = false;
        if (phase != Phase.DONE) {
            phase = Phase.WAITING;
        }
    }

    TaskRecord record() {
        Optional<TaskRecord.Place> place =
                runner == null ? Optional.empty() : Optional.of(new TaskRecord.Place(runner.id, runner.bornMs));
        return new TaskRecord(
                step.occurrence,
                step.number,
                name.index(),
                phase == Phase.DONE,
                run,
                failures,
                phase == Phase.DONE ? "" : checkpoint,
                place);
    }
}
