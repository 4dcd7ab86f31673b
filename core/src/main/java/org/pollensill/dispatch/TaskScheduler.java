package org.pollensill.dispatch;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.pollensill.job.Trait;
import org.pollensill.runner.RunnerEntry;

/** Places the waiting tasks of all ready steps in order of urgency. */
final class TaskScheduler {

    /** Time for which more short tasks are expected after a short task found no free capacity. */
    private static final long SHORT_TASK_DEMAND_MS = 10_000;

    /**
     * Time for which the only free slot is reserved for short tasks before a long-running task takes it. If two slots
     * are free, a long-running task takes one without delay.
     */
    static final long SLOT_RESERVATION_MS = 1_000;

    /** Number of searches in a round after which a need for which no runner was found is not searched for again. */
    private static final int FULL_SEARCHES_PER_ROUND = 200;

    /** Maximum number of tasks that a round places, apart from the other members of a gang. */
    static final int MAX_PLACEMENTS_PER_ROUND = 1_000;

    /** Time for which a task that was overdue is not preempted again, so that waiting goes round. */
    private static final long MIN_RUN_AFTER_OVERDUE_MS = 6_000;

    private final JobTable jobs;
    private final Fleet fleet;
    private final PendingChanges pendingChanges;
    private final RunnerSelector runnerSelector;
    private final Preemptor preemptor;
    private final CapacityReservations reservations;
    private final DispatchListener listener;
    /** The needs for which no runner was found in this round. */
    private final Set<PlacementNeed> unplaceable = new HashSet<>();

    private int placementsInRound;
    private int searchesInRound;
    private long shortTaskUnplacedAtMs = Long.MIN_VALUE / 2;

    TaskScheduler(
            JobTable jobs,
            Fleet fleet,
            PendingChanges pendingChanges,
            RunnerSelector runnerSelector,
            Preemptor preemptor,
            CapacityReservations reservations,
            DispatchListener listener) {
        this.jobs = jobs;
        this.fleet = fleet;
        this.pendingChanges = pendingChanges;
        this.runnerSelector = runnerSelector;
        this.preemptor = preemptor;
        this.reservations = reservations;
        this.listener = listener;
    }

    void place(long nowMs) {
        unplaceable.clear();
        placementsInRound = 0;
        searchesInRound = 0;
        List<StepState> steps = jobs.readySteps(nowMs);
        preemptor.beginRound(steps, nowMs);
        reservations.placeOverdue(steps, nowMs, new OverduePlacement(nowMs));
        List<TaskState> blocked = new ArrayList<>();
        List<TaskState> overtaken = new ArrayList<>();
        for (StepState step : steps) {
            if (placementsInRound >= MAX_PLACEMENTS_PER_ROUND) {
                break;
            }
            if (step.spec.hasTrait(Trait.GANG)) {
                placeGang(step, nowMs);
                continue;
            }
            long placementsBefore = step.placements;
            Optional<TaskState> unplaced = placeTasks(step, nowMs);
            if (step.placements > placementsBefore) {
                // What less urgent work has just used may have been the room of those before it.
                overtaken.addAll(blocked);
                blocked.clear();
            }
            unplaced.filter(task -> step.runsToCompletion()).ifPresent(blocked::add);
        }
        reservations.reserveForOvertaken(overtaken, nowMs);
    }

    /** Sets whether runners are reserved for large run-to-completion tasks that less urgent work overtakes. */
    void reserveForLargeTasks(boolean allowed) {
        reservations.allowShortTasks(allowed);
    }

    /** Places the tasks of a step, and returns the first one that finds no room. */
    private Optional<TaskState> placeTasks(StepState step, long nowMs) {
        Optional<String> rack = requiredRack(step);
        List<TaskState> claimed = placeOnClaimedRunners(step, nowMs);
        // Tasks with a claim come last: a free slot elsewhere spares another task a preemption.
        Iterator<TaskState> unclaimed =
                step.tasks.unclaimed(nowMs, jobs.stateSize().hasRoomForTasks());
        Iterator<TaskState> waiting = unclaimed.hasNext() ? unclaimed : claimed.iterator();
        Optional<TaskState> unplaced = Optional.empty();
        boolean placed = false;
        while (waiting.hasNext() && placementsInRound < MAX_PLACEMENTS_PER_ROUND) {
            TaskState task = waiting.next();
            Optional<RunnerState> runner = choose(task, rack, nowMs);
            if (runner.isEmpty()) {
                step.slotFreeSinceMs = 0;
                unplaced = Optional.of(task);
                break;
            }
            if (step.spec.hasTrait(Trait.RESTART_ALWAYS) && reservesSlotForShortTasks(task, nowMs)) {
                return Optional.empty();
            }
            assign(task, runner.get(), nowMs);
            placed = true;
            if (waiting == unclaimed && !unclaimed.hasNext()) {
                waiting = claimed.iterator();
            }
        }
        if (placed) {
            step.slotFreeSinceMs = 0;
        }
        if (unplaced.isEmpty() || !step.runsToCompletion() || !step.occurrence.hasRemainingValue(nowMs)) {
            return unplaced;
        }
        shortTaskUnplacedAtMs = nowMs;
        if (unplaced.get().claimedRunner == null && mayPreempt(step, nowMs)) {
            preemptor.preempt(unplaced.get(), unclaimed, rack, nowMs);
        }
        return unplaced;
    }

    /** Places the tasks whose claimed capacity has become free, and returns the others that have a claim. */
    private List<TaskState> placeOnClaimedRunners(StepState step, long nowMs) {
        List<TaskState> claimed = new ArrayList<>();
        for (TaskState task : step.tasks) {
            if (!task.isPlaceable(nowMs) || task.claimedRunner == null) {
                continue;
            }
            if (runnerSelector.obstacle(task, task.claimedRunner, nowMs).isEmpty()) {
                assign(task, task.claimedRunner, nowMs);
            } else {
                claimed.add(task);
            }
        }
        return claimed;
    }

    /** Returns whether long-running tasks may be stopped for a step, which must be of use to its job. */
    private boolean mayPreempt(StepState step, long nowMs) {
        return !reservations.isExhausted() && step.occurrence.canEndInValue(nowMs, Preemptor.STOP_DURATION_MS);
    }

    /** Returns whether the only free slot stays reserved for short tasks, some of which recently found no capacity. */
    private boolean reservesSlotForShortTasks(TaskState task, long nowMs) {
        StepState step = task.step;
        if (step.slotFreeSinceMs == 0) {
            step.slotFreeSinceMs = nowMs;
        }
        return isSlotReserved(task, nowMs);
    }

    /** Returns whether a waiting long-running task is held back because the only free slot is for short tasks. */
    boolean holdsSlotForShortTasks(TaskState task, long nowMs) {
        StepState step = task.step;
        return step.spec.hasTrait(Trait.RESTART_ALWAYS) && step.slotFreeSinceMs != 0 && isSlotReserved(task, nowMs);
    }

    private boolean isSlotReserved(TaskState task, long nowMs) {
        StepState step = task.step;
        boolean shortTasksExpected = nowMs - shortTaskUnplacedAtMs < SHORT_TASK_DEMAND_MS && step.heldFraction() > 0;
        return shortTasksExpected
                && !CapacityReservations.isOverdue(task, nowMs)
                && nowMs - step.slotFreeSinceMs < SLOT_RESERVATION_MS
                && !runnerSelector.hasCapacityForTwo(task, fleet.all(), nowMs);
    }

    /** Returns whether the best runner for a task is another one than its current runner. */
    boolean hasBetterRunner(TaskState task, long nowMs) {
        Optional<RunnerState> other = runnerSelector.choose(task, fleet.all(), Optional.empty(), nowMs);
        return other.isPresent() && other.get() != task.runner;
    }

    /** Returns a runner for a task, on any rack if none fits on the required one. */
    private Optional<RunnerState> choose(TaskState task, Optional<String> rack, long nowMs) {
        boolean sharesNeed = searchesInRound >= FULL_SEARCHES_PER_ROUND
                && PlacementNeed.decidesFor(task.step)
                && !isHeldForTask(task);
        if (sharesNeed && unplaceable.contains(PlacementNeed.of(task.step))) {
            return Optional.empty();
        }
        searchesInRound++;
        Optional<RunnerState> runner = runnerSelector.choose(task, fleet.all(), rack, nowMs);
        if (runner.isEmpty() && rack.isPresent()) {
            runner = runnerSelector.choose(task, fleet.all(), Optional.empty(), nowMs);
        }
        if (runner.isEmpty() && sharesNeed) {
            unplaceable.add(PlacementNeed.of(task.step));
        }
        return runner;
    }

    /** Returns whether capacity of a runner is withheld from others for a task. */
    private boolean isHeldForTask(TaskState task) {
        return task.claimedRunner != null || reservations.holdsFor(task);
    }

    /** Places overdue tasks by the same rules as others. */
    private final class OverduePlacement implements CapacityReservations.Placement {

        private final long nowMs;

        private OverduePlacement(long nowMs) {
            this.nowMs = nowMs;
        }

        @Override
        public Optional<RunnerState> choose(TaskState task) {
            return TaskScheduler.this.choose(task, requiredRack(task.step), nowMs);
        }

        @Override
        public void assign(TaskState task, RunnerState runner) {
            TaskScheduler.this.assign(task, runner, nowMs);
        }
    }

    private void assign(TaskState task, RunnerState runner, long nowMs) {
        if (isHeldForTask(task)) {
            // What was withheld for the task may now fit another one.
            unplaceable.clear();
        }
        reservations.release(task);
        preemptor.claims().release(task);
        if (CapacityReservations.isOverdue(task, nowMs)) {
            task.preemptibleFromMs = nowMs + MIN_RUN_AFTER_OVERDUE_MS;
        }
        task.placeOn(runner, nowMs);
        if (task.run == 1) {
            jobs.stateSize().taskAdded();
        }
        placementsInRound++;
        jobs.placementCounts().placed(task.step, runner);
        pendingChanges.placed(task);
        listener.placed(task.name, task.run, runner.id, nowMs - task.readySinceMs);
    }

    private Optional<String> requiredRack(StepState step) {
        return step.spec.hasTrait(Trait.SINGLE_RACK) ? preferredRack(step) : Optional.empty();
    }

    /** Returns the rack on which tasks of a step already run, or else the one with the most idle processors. */
    private Optional<String> preferredRack(StepState step) {
        for (TaskState task : step.tasks) {
            if (task.hasRunner() && task.runner.entry.isPresent()) {
                return Optional.of(task.runner.entry.get().rack());
            }
        }
        Map<String, Long> idleByRack = new LinkedHashMap<>();
        for (RunnerState runner : fleet.all()) {
            Optional<RunnerEntry> entry = runner.entry;
            boolean usable = entry.isPresent() && runner.isResponsive();
            if (usable && entry.get().service().equals(step.job.service)) {
                idleByRack.merge(entry.get().rack(), Math.max(0, runner.idleMillicores()), Long::sum);
            }
        }
        String best = null;
        for (Map.Entry<String, Long> rack : idleByRack.entrySet()) {
            if (best == null || rack.getValue() > idleByRack.get(best)) {
                best = rack.getKey();
            }
        }
        return Optional.ofNullable(best);
    }

    /** Places all tasks of a gang or none of them; they share one run number. */
    private void placeGang(StepState step, long nowMs) {
        int run = 0;
        for (TaskState task : step.tasks) {
            if (task.phase != TaskState.Phase.WAITING || nowMs < Math.max(task.notBeforeMs, task.strayRunEndMs)) {
                return;
            }
            run = Math.max(run, task.run);
        }
        Optional<String> rack = requiredRack(step);
        boolean placed =
                placeAll(step, rack, run, nowMs) || rack.isPresent() && placeAll(step, Optional.empty(), run, nowMs);
        if (!placed && step.runsToCompletion() && step.occurrence.hasRemainingValue(nowMs)) {
            shortTaskUnplacedAtMs = nowMs;
            if (mayPreempt(step, nowMs)) {
                preemptor.preemptForGang(step, rack, nowMs);
            }
        }
    }

    /** Returns the checkpoint from which a gang goes on: that of any member is valid for all, and all must have the same. */
    private static String gangCheckpoint(StepState step) {
        TaskState furthest = step.tasks.get(0);
        for (TaskState member : step.tasks) {
            boolean better = furthest.checkpoint.isEmpty() || member.checkpointPercent > furthest.checkpointPercent;
            if (!member.checkpoint.isEmpty() && better) {
                furthest = member;
            }
        }
        return furthest.checkpoint;
    }

    /** Returns the runner claimed for a member of a gang if it fits there, or else any on a rack. */
    private Optional<RunnerState> chooseForMember(TaskState member, Optional<String> rack, long nowMs) {
        RunnerState claimed = member.claimedRunner;
        if (claimed != null && runnerSelector.obstacle(member, claimed, nowMs).isEmpty()) {
            return Optional.of(claimed);
        }
        return runnerSelector.choose(member, fleet.all(), rack, nowMs);
    }

    private boolean placeAll(StepState step, Optional<String> rack, int run, long nowMs) {
        List<TaskState> placed = new ArrayList<>();
        Map<TaskState, PreemptionClaims.Claim> fulfilled = new LinkedHashMap<>();
        for (TaskState task : step.tasks) {
            Optional<RunnerState> runner = chooseForMember(task, rack, nowMs);
            if (runner.isEmpty()) {
                for (TaskState member : placed) {
                    member.release();
                    member.run = run;
                }
                fulfilled.forEach(preemptor.claims()::restore);
                return false;
            }
            preemptor.claims().release(task).ifPresent(claim -> fulfilled.put(task, claim));
            task.run = run;
            task.placeOn(runner.get(), nowMs);
            placed.add(task);
        }
        if (!fulfilled.isEmpty()) {
            unplaceable.clear();
        }
        String checkpoint = gangCheckpoint(step);
        for (TaskState member : placed) {
            member.checkpoint = checkpoint;
            placementsInRound++;
            jobs.placementCounts().placed(step, member.runner);
            pendingChanges.placed(member);
            listener.placed(member.name, member.run, member.runner.id, nowMs - member.readySinceMs);
        }
        return true;
    }
}
