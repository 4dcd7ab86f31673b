package org.pollensill.dispatch;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

import org.pollensill.job.ProgressLayout;
import org.pollensill.job.TaskName;
import org.pollensill.job.TaskRecord;
import org.pollensill.job.Trait;

/** In-memory state of a task. */
final class TaskState {

    /** Phase in the life cycle of a task. */
    enum Phase {
        /** Has no runner. */
        WAITING,
        /** A runner is chosen; the placement is not durable yet. */
        PLACED,
        /** The placement is durable; the start order may have been sent. */
        ORDERED,
        /** The runner has confirmed the run. */
        RUNNING,
        /** Has completed. */
        DONE
    }

    /** Progress of a long-running task that is fully at work, and of one that is complete. */
    static final int FULL_PERCENT = 100;

    /** Pace of an unthrottled task, in percent. */
    static final int FULL_PACE = 100;

    final StepState step;
    final TaskName name;
    /** Number of the task in its job. */
    final int ordinal;

    Phase phase = Phase.WAITING;
    int run;
    int failures;
    String checkpoint = "";
    /** Progress in the report that brought the checkpoint; 0 where that is not known. */
    int checkpointPercent;

    /** The runner of the task in phases PLACED to RUNNING, otherwise null. */
    RunnerState runner;

    /** The incarnation of the runner for which the task was placed there; a start is sent to no other one. */
    long placedIncarnationStartMs;

    boolean stopping;
    long stopSentAtMs;
    /** Number of stop orders sent for the run. */
    int stopAttempts;

    /** Number of the last renewal sent before the run was confirmed; reports to later ones must list the run. */
    long confirmedAtRenewal;

    /** The address at which the run was ordered or reported, empty where it may be at work at more than one. */
    String runAddress = "";

    /** Whether a former run has completed the task while a later one was ordered, which is being stopped. */
    boolean completed;

    int startAttempts;
    /** Number of start orders of the run that the runner has answered. */
    int startAnswers;

    /** Time at which a start order is to be sent that could not be sent or repeated at once, 0 where none is. */
    long startDueAtMs;

    long readySinceMs;
    long notBeforeMs;
    /** Time since which the task may have had no run; earlier than readySinceMs after an expired lease. */
    long withoutRunSinceMs;

    /** The runners that have been reserved for the task in vain since its last run, and the one reserved now. */
    final Set<String> reservedRunners = new HashSet<>(0);

    /** Time before which no runner is reserved for the task, since its last reservation expired. */
    long nextReservationAtMs;

    /** Longest time for which the task could start and had no runner. */
    long longestWaitMs;

    /** The runner on which capacity is withheld for the waiting task, null where there is none. */
    RunnerState claimedRunner;

    /** Whether the last run was preempted. */
    boolean preempted;

    /** Time before which a long-running task that was overdue is not preempted again. */
    long preemptibleFromMs;

    /** Value of {@link PlacementCounts#ofOtherSteps} at the time {@code readySinceMs}. */
    long othersPlacedWhenReady;

    /** Time before which a former run of a member of a gang may be at work on a runner that has reported it, or 0. */
    long strayRunEndMs;

    String avoidRunner = "";
    long startedAtMs;
    int percent;

    /** Time at which the latest renewal was sent whose answer shows the task fully at work. */
    long workProvenAtMs = Long.MIN_VALUE / 2;

    long progressAtMs;
    /** Reading of the runner's clock in the first report with the current percentage, 0 before the first report. */
    long progressClockMs;

    int pace = FULL_PACE;
    /** Whether a former leader may have set another pace than the one assumed here. */
    boolean paceUnknown;

    /** Whether the runner has accepted the last order that changed the pace. */
    boolean paceConfirmed = true;

    /** Whether that order let a paused task go on, so that its progress counts from the answer on. */
    boolean resuming;

    long paceChangedAtMs;
    /** Time since which the pace has been too low for useful progress. */
    long starvedSinceMs;

    /** Current intensity of a best-effort task, as a fraction of its maximum. */
    double intensity = 1;

    /** Last estimate of the slack of a latency-critical task without best-effort tasks beside it. */
    double idleSlack;

    long idleSlackAtMs = Long.MIN_VALUE / 2;

    TaskState(StepState step, int index, int ordinal) {
        this.step = step;
        this.ordinal = ordinal;
        this.name = step.nameOf(index);
        this.readySinceMs = step.readySinceMs;
        this.withoutRunSinceMs = step.readySinceMs;
        this.othersPlacedWhenReady = step.othersPlacedWhenReady;
    }

    /** Returns whether the task is latency-critical: it serves requests under a bound of its tail latency. */
    boolean isLatencyCritical() {
        return step.spec.serviceLevel().tailLatencyTargetMs() > 0;
    }

    /**
     * Returns how long the run is expected to go on, by its progress or else by its estimate. One that has exceeded its
     * estimate is expected to take that long again.
     */
    long expectedRemainingMs(long nowMs) {
        long elapsedMs = nowMs - startedAtMs;
        if (percent > 0) {
            return elapsedMs * (100 - percent) / percent;
        }
        long estimateMs = step.spec.estimateMs();
        return elapsedMs < estimateMs ? estimateMs - elapsedMs : estimateMs;
    }

    String image() {
        return step.spec.serviceLevel().image().orElse("");
    }

    /** Returns the task's share of a runner's processors. */
    double share(RunnerState on) {
        return (double) step.spec.need().processorsMillicores()
                / Math.max(1, on.capacity().processorsMillicores());
    }

    /** Returns the task's share of a runner's processors at full pace, scaled by its current intensity. */
    double effectiveShare(RunnerState on) {
        return share(on) * intensity;
    }

    /** Returns whether a long-running task is running, reports 100 percent and is not being stopped. */
    boolean isFullyRunning() {
        return phase == Phase.RUNNING && !stopping && percent >= FULL_PERCENT;
    }

    /** Returns whether this leader has chosen the runner and has not sent the start order yet. */
    boolean startIsUnsent() {
        return startAttempts == 0 && startDueAtMs != 0;
    }

    /** Returns whether a start order of the run may still be carried out. */
    boolean startIsUnanswered() {
        return startAttempts > startAnswers;
    }

    /** Returns whether the task waits and its retry delay has passed. */
    boolean isPlaceable(long nowMs) {
        return phase == Phase.WAITING && nowMs >= notBeforeMs;
    }

    boolean hasRunner() {
        return runner != null;
    }

    /** Sets the runner, null for none. */
    void setRunner(RunnerState newRunner) {
        step.job.tasksOnRunners += (newRunner == null ? 0 : 1) - (runner == null ? 0 : 1);
        runner = newRunner;
    }

    void placeOn(RunnerState chosen, long nowMs) {
        longestWaitMs = Math.max(longestWaitMs, nowMs - readySinceMs);
        run++;
        phase = Phase.PLACED;
        stopping = false;
        preempted = false;
        reservedRunners.clear();
        startAttempts = 0;
        startAnswers = 0;
        startDueAtMs = 0;
        runAddress = "";
        stopAttempts = 0;
        percent = 0;
        pace = FULL_PACE;
        paceUnknown = false;
        paceConfirmed = true;
        resuming = false;
        intensity = 1;
        paceChangedAtMs = nowMs;
        startedAtMs = nowMs;
        idleSlackAtMs = Long.MIN_VALUE / 2;
        progressAtMs = nowMs;
        progressClockMs = 0;
        setRunner(chosen);
        placedIncarnationStartMs = chosen.incarnationStartMs;
        chosen.add(this);
        if (chosen.isOnProbation()) {
            chosen.probeTask = this;
        }
    }

    /** Takes back a run that its runner reports to be at work although it was released. */
    void resumeOn(RunnerState found, String address, long nowMs) {
        phase = Phase.ORDERED;
        setRunner(found);
        placedIncarnationStartMs = found.incarnationStartMs;
        runAddress = address;
        paceUnknown = step.spec.hasTrait(Trait.FILLS);
        startedAtMs = nowMs;
        progressAtMs = nowMs;
        progressClockMs = 0;
        found.add(this);
    }

    /** Releases the task from its runner; it is waiting again unless it is done. */
    void release() {
        if (runner != null) {
            runner.remove(this);
            setRunner(null);
        }
        stopping = false;
        if (phase != Phase.DONE) {
            phase = Phase.WAITING;
        }
    }

    /** Returns the number of the row that holds the task's progress, where that is stored by range of tasks. */
    int progressRow() {
        return ProgressLayout.rowOf(ordinal);
    }

    TaskRecord record() {
        Optional<TaskRecord.RunnerIncarnation> assignedRunner = runner == null
                ? Optional.empty()
                : Optional.of(new TaskRecord.RunnerIncarnation(
                        runner.id, phase == Phase.RUNNING ? runner.incarnationStartMs : placedIncarnationStartMs));
        boolean done = phase == Phase.DONE || completed;
        return new TaskRecord(
                step.occurrence.index,
                step.number,
                name.index(),
                done,
                run,
                failures,
                done ? "" : checkpoint,
                assignedRunner);
    }
}
