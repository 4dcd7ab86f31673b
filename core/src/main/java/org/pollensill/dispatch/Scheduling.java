package org.pollensill.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.pollensill.job.Trait;
import org.pollensill.runner.RunnerEntry;

/** Places the waiting tasks of all ready steps, most urgent first. */
final class Scheduling {

    /** After a short task found no room, others are expected for this time. */
    private static final long SHORT_TASKS_EXPECTED_MS = 10_000;

    /** A task that lasts leaves the only free place to short tasks this long; room for two is used at once. */
    static final long LEAVE_PLACE_MS = 1_000;

    private final JobTable jobs;
    private final Fleet fleet;
    private final Recorder recorder;
    private final Placement placement;
    private final RoomMaker rooms;
    private final DispatchListener listener;
    private long shortTaskWaitedAtMs = Long.MIN_VALUE / 2;

    Scheduling(
            JobTable jobs,
            Fleet fleet,
            Recorder recorder,
            Placement placement,
            RoomMaker rooms,
            DispatchListener listener) {
        this.jobs = jobs;
        this.fleet = fleet;
        this.recorder = recorder;
        this.placement = placement;
        this.rooms = rooms;
        this.listener = listener;
    }

    void place(long nowMs) {
        for (StepState step : jobs.readySteps(nowMs)) {
            if (step.spec.is(Trait.GANG)) {
                placeGang(step, nowMs);
                continue;
            }
            placeTasks(step, nowMs);
        }
    }

    private void placeTasks(StepState step, long nowMs) {
        Optional<String> rack = step.spec.is(Trait.SINGLE_RACK) ? rackOf(step) : Optional.empty();
        int unplaced = 0;
        TaskState first = null;
        boolean placed = false;
        for (TaskState task : step.tasks) {
            if (task.phase != TaskState.Phase.WAITING || nowMs < task.notBeforeMs) {
                continue;
            }
            if (first != null) {
                unplaced++;
                continue;
            }
            Optional<RunnerState> runner = placement.choose(task, fleet.all(), rack, nowMs);
            if (runner.isEmpty() && rack.isPresent()) {
                runner = placement.choose(task, fleet.all(), Optional.empty(), nowMs);
            }
            if (runner.isEmpty()) {
                step.placeFreeSinceMs = 0;
                first = task;
                unplaced = 1;
                continue;
            }
            if (step.spec.is(Trait.RESTART_ALWAYS) && leavesPlaceToShortTasks(task, nowMs)) {
                return;
            }
            commitTo(task, runner.get(), nowMs);
            placed = true;
        }
        if (placed) {
            step.placeFreeSinceMs = 0;
        }
        if (first != null && step.isShort() && step.job.canStillEarn(nowMs)) {
            shortTaskWaitedAtMs = nowMs;
            rooms.makeRoom(first, unplaced, nowMs);
        }
    }

    /** Returns whether a task that lasts lets the only free place be, because short tasks have lacked room lately. */
    private boolean leavesPlaceToShortTasks(TaskState task, long nowMs) {
        StepState step = task.step;
        if (step.placeFreeSinceMs == 0) {
            step.placeFreeSinceMs = nowMs;
        }
        boolean crowded = nowMs - shortTaskWaitedAtMs < SHORT_TASKS_EXPECTED_MS && step.heldPart() > 0;
        return crowded
                && nowMs - step.placeFreeSinceMs < LEAVE_PLACE_MS
                && !placement.hasRoomForTwo(task, fleet.all(), nowMs);
    }

    /** Returns whether a task could run on another runner than the one that holds it. */
    boolean hasOtherPlace(TaskState task, long nowMs) {
        Optional<RunnerState> other = placement.choose(task, fleet.all(), Optional.empty(), nowMs);
        return other.isPresent() && other.get() != task.runner;
    }

    private void commitTo(TaskState task, RunnerState runner, long nowMs) {
        task.placeOn(runner, nowMs);
        recorder.placed(task);
        listener.placed(task.name, task.run, runner.id, nowMs - task.readySinceMs);
    }

    /** Returns the rack where tasks of a step run already, or the one with the most idle processors. */
    private Optional<String> rackOf(StepState step) {
        for (TaskState task : step.tasks) {
            if (task.held() && task.runner.entry.isPresent()) {
                return Optional.of(task.runner.entry.get().rack());
            }
        }
        Map<String, Long> idle = new LinkedHashMap<>();
        for (RunnerState runner : fleet.all()) {
            Optional<RunnerEntry> entry = runner.entry;
            if (entry.isPresent() && entry.get().service().equals(step.job.service)) {
                idle.merge(entry.get().rack(), Math.max(0, runner.idleMillicores()), Long::sum);
            }
        }
        String best = null;
        for (Map.Entry<String, Long> rack : idle.entrySet()) {
            if (best == null || rack.getValue() > idle.get(best)) {
                best = rack.getKey();
            }
        }
        return Optional.ofNullable(best);
    }

    /** Places all members of a gang or none; they share one run number. */
    private void placeGang(StepState step, long nowMs) {
        int run = 0;
        for (TaskState task : step.tasks) {
            if (task.phase != TaskState.Phase.WAITING || nowMs < task.notBeforeMs) {
                return;
            }
            run = Math.max(run, task.run);
        }
        Optional<String> rack = step.spec.is(Trait.SINGLE_RACK) ? rackOf(step) : Optional.empty();
        if (!placeMembers(step, rack, run, nowMs) && rack.isPresent()) {
            placeMembers(step, Optional.empty(), run, nowMs);
        }
    }

    private boolean placeMembers(StepState step, Optional<String> rack, int run, long nowMs) {
        Collection<RunnerState> runners = fleet.all();
        List<TaskState> placed = new ArrayList<>();
        for (TaskState task : step.tasks) {
            Optional<RunnerState> runner = placement.choose(task, runners, rack, nowMs);
            if (runner.isEmpty()) {
                for (TaskState member : placed) {
                    member.release();
                    member.run = run;
                }
                return false;
            }
            task.run = run;
            task.placeOn(runner.get(), nowMs);
            placed.add(task);
        }
        for (TaskState member : placed) {
            recorder.placed(member);
            listener.placed(member.name, member.run, member.runner.id, nowMs - member.readySinceMs);
        }
        return true;
    }
}
