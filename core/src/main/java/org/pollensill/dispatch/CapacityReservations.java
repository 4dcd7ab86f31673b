package org.pollensill.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.pollensill.job.Trait;
import org.pollensill.worker.Resources;

/**
 * Limits how long other work may overtake a waiting task. A long-running task that has had no run for
 * {@link #MAX_OVERTAKEN_MS} is overdue: it is placed before all other tasks. Where it fits on no runner, the free
 * capacity of one runner is reserved for it for a limited time, so that smaller tasks cannot take each slot that
 * becomes free. Only a part of the runners may be reserved at a time; the capacity of the others goes by urgency.
 *
 * <p>Where it is allowed, a large task of a job that is still of use is given a reservation as well once less urgent
 * work has overtaken it: small tasks leave gaps on all runners that it cannot use. Until the reserved task is expected
 * to fit, tasks that surely end before may use the capacity.
 */
final class CapacityReservations {

    /** A second less than the 6 s without a run after which the users count a long-running task as missing. */
    static final long MAX_OVERTAKEN_MS = 5_000;

    /** Maximum duration of a reservation. */
    static final long MAX_RESERVATION_MS = 4_000;

    /** Minimum duration of a reservation; most short tasks end within it. */
    static final long MIN_RESERVATION_MS = 2_000;

    /** A reservation lasts for this many times the time in which the capacity is expected to become free. */
    private static final double EXPECTATION_FACTOR = 1.5;

    /** Maximum number of reservations of a task, of a runner each, that expire without a pause after them. */
    private static final int MAX_RESERVATIONS_IN_A_ROW = 2;

    /**
     * Time without a reservation after those of a task have expired. It keeps capacity on which the task cannot start
     * usable for others, and gives other overdue tasks their turn.
     */
    static final long RESERVATION_PAUSE_MS = MAX_RESERVATIONS_IN_A_ROW * MIN_RESERVATION_MS;

    /** Delay before another search, over all runners, for a step whose tasks fit nowhere. */
    private static final long RETRY_DELAY_MS = 250;

    /** Maximum fraction of the listed runners that are reserved; reserved capacity is idle until the task starts. */
    private static final double MAX_RESERVED_FRACTION = 0.1;

    /** Minimum duration of a reservation for a run-to-completion task. */
    static final long MIN_SHORT_RESERVATION_MS = 1_000;

    /** Such a reservation lasts for this many times the expected time: runs take half as long again, and ends are reported late. */
    private static final double SHORT_EXPECTATION_FACTOR = 2;

    /** Minimum time for which less urgent work may overtake a run-to-completion task. */
    static final long MIN_OVERTAKEN_MS = 400;

    /** Part of the time that its objective leaves a job for waiting, after which its tasks are not overtaken any more. */
    private static final double OVERTAKEN_FRACTION_OF_SLACK = 0.25;

    /** Part of the reservations that run-to-completion tasks may have. */
    private static final double MAX_SHORT_FRACTION = 0.5;

    /** Maximum number of searches over all runners for run-to-completion tasks in a round. */
    private static final int MAX_SHORT_SEARCHES = 2;

    private static final Comparator<TaskState> LONGEST_WITHOUT_RUN_FIRST =
            Comparator.comparingLong(task -> task.withoutRunSinceMs);

    /** A runner whose free capacity is reserved, and until when. */
    private record Reservation(RunnerState runner, long endMs) {}

    /** A runner on which a task is expected to fit after a time. */
    private record ExpectedFit(RunnerState runner, long inMs) {}

    /** Chooses runners and places tasks by the rules of their steps. */
    interface Placement {

        Optional<RunnerState> choose(TaskState task);

        void assign(TaskState task, RunnerState runner);
    }

    private final Fleet fleet;
    private final RunnerSelector runnerSelector;
    private final DispatchListener listener;
    private final Map<TaskState, Reservation> reservations = new LinkedHashMap<>();
    /** Number of overdue tasks that were preempted and for which no further runner may be reserved. */
    private int preemptedWithoutReservation;

    private int maxReservations = 1;
    private boolean shortTasksAllowed;

    CapacityReservations(Fleet fleet, RunnerSelector runnerSelector, DispatchListener listener) {
        this.fleet = fleet;
        this.runnerSelector = runnerSelector;
        this.listener = listener;
    }

    /** Sets whether runners are reserved for large run-to-completion tasks, too. */
    void allowShortTasks(boolean allowed) {
        shortTasksAllowed = allowed;
    }

    /** Returns whether other work may no longer overtake a waiting task. */
    static boolean isOverdue(TaskState task, long nowMs) {
        return task.phase == TaskState.Phase.WAITING
                && task.step.spec.hasTrait(Trait.RESTART_ALWAYS)
                && !task.step.spec.hasTrait(Trait.GANG)
                && nowMs - task.withoutRunSinceMs >= MAX_OVERTAKEN_MS;
    }

    /** Returns whether other work may no longer overtake one of the tasks of a step. */
    static boolean hasOverdueTask(StepState step, long nowMs) {
        for (TaskState task : step.tasks) {
            if (isOverdue(task, nowMs)) {
                return true;
            }
        }
        return false;
    }

    /** Returns whether so many preempted tasks wait for a reservation that no further one may be preempted. */
    boolean isExhausted() {
        return preemptedWithoutReservation > maxReservations;
    }

    /**
     * Places the overdue tasks that fit and reserves runners for others, longest without a run first.
     *
     * @param steps the ready steps
     * @param nowMs the time
     * @param placement places a task
     */
    void placeOverdue(List<StepState> steps, long nowMs, Placement placement) {
        releaseInvalid(nowMs);
        preemptedWithoutReservation = 0;
        maxReservations = maxReservations();
        for (TaskState task : overdueTasks(steps, nowMs)) {
            if (!reservations.containsKey(task)) {
                if (nowMs < task.nextReservationAtMs || nowMs < task.step.nextOverdueSearchAtMs) {
                    continue;
                }
                if (reservations.size() >= maxReservations) {
                    preemptedWithoutReservation += task.preempted ? 1 : 0;
                    continue;
                }
            }
            Optional<RunnerState> runner = runnerFor(task, nowMs, placement);
            if (runner.isPresent()) {
                release(task);
                placement.assign(task, runner.get());
            }
        }
    }

    /** Returns whether a runner is reserved for a task. */
    boolean holdsFor(TaskState task) {
        return reservations.containsKey(task);
    }

    /** Ends the reservation for a task, if there is one. */
    void release(TaskState task) {
        Reservation reservation = reservations.remove(task);
        if (reservation != null) {
            reservation.runner().reservedFor = null;
        }
    }

    private static List<TaskState> overdueTasks(List<StepState> steps, long nowMs) {
        List<TaskState> overdue = new ArrayList<>();
        for (StepState step : steps) {
            for (TaskState task : step.tasks) {
                if (isOverdue(task, nowMs) && nowMs >= task.notBeforeMs) {
                    overdue.add(task);
                }
            }
        }
        overdue.sort(LONGEST_WITHOUT_RUN_FIRST);
        return overdue;
    }

    /** Returns a runner on which an overdue task fits; otherwise reserves one if possible. */
    private Optional<RunnerState> runnerFor(TaskState task, long nowMs, Placement placement) {
        Reservation reservation = reservations.get(task);
        if (reservation != null) {
            boolean fits =
                    runnerSelector.obstacle(task, reservation.runner(), nowMs).isEmpty();
            return fits ? Optional.of(reservation.runner()) : Optional.empty();
        }
        Optional<RunnerState> fitting = placement.choose(task);
        if (fitting.isPresent()) {
            return fitting;
        }
        Optional<ExpectedFit> soonest = soonestFit(task, nowMs);
        if (soonest.isPresent()) {
            reserve(task, soonest.get(), durationMs(soonest.get(), EXPECTATION_FACTOR, MIN_RESERVATION_MS), nowMs);
        } else if (!task.reservedRunners.isEmpty()) {
            // Each candidate has been reserved in vain.
            task.reservedRunners.clear();
            task.nextReservationAtMs = nowMs + RESERVATION_PAUSE_MS;
        } else {
            // All tasks of a step need the same.
            task.step.nextOverdueSearchAtMs = nowMs + RETRY_DELAY_MS;
        }
        return Optional.empty();
    }

    private void reserve(TaskState task, ExpectedFit fit, long durationMs, long nowMs) {
        RunnerState runner = fit.runner();
        runner.reservedFor = task;
        runner.reservedFromMs = shortTasksAllowed ? nowMs + fit.inMs() : 0;
        task.reservedRunners.add(runner.id);
        reservations.put(task, new Reservation(runner, nowMs + durationMs));
        listener.capacityReserved(task.name, runner.id, nowMs - task.withoutRunSinceMs);
    }

    private static long durationMs(ExpectedFit fit, double factor, long minMs) {
        long expectedMs = (long) (factor * fit.inMs());
        return Math.max(minMs, Math.min(MAX_RESERVATION_MS, expectedMs));
    }

    /**
     * Reserves runners for run-to-completion tasks that found no room in this round and were overtaken.
     *
     * @param unplaced a task of each such step, most urgent first
     * @param nowMs the time
     */
    void reserveForOvertaken(List<TaskState> unplaced, long nowMs) {
        if (!shortTasksAllowed) {
            return;
        }
        int room = (int) Math.max(1, MAX_SHORT_FRACTION * maxReservations);
        for (TaskState reserved : reservations.keySet()) {
            room -= reserved.step.runsToCompletion() ? 1 : 0;
        }
        int searches = 0;
        for (TaskState task : unplaced) {
            if (room <= 0 || searches == MAX_SHORT_SEARCHES || reservations.size() >= maxReservations) {
                return;
            }
            boolean due = nowMs >= task.nextReservationAtMs && nowMs >= task.step.nextOverdueSearchAtMs;
            if (!due || reservations.containsKey(task) || !mustNotBeOvertaken(task, nowMs)) {
                continue;
            }
            searches++;
            Optional<ExpectedFit> soonest = soonestFit(task, nowMs);
            if (soonest.isPresent()) {
                ExpectedFit fit = soonest.get();
                reserve(task, fit, durationMs(fit, SHORT_EXPECTATION_FACTOR, MIN_SHORT_RESERVATION_MS), nowMs);
                room--;
            } else {
                task.reservedRunners.clear();
                task.step.nextOverdueSearchAtMs = nowMs + RETRY_DELAY_MS;
            }
        }
    }

    /** Returns whether a task that waits has used up the time for which less urgent work may overtake it. */
    private static boolean mustNotBeOvertaken(TaskState task, long nowMs) {
        JobState job = task.step.job;
        boolean waits = task.phase == TaskState.Phase.WAITING && !job.status.isFinal();
        if (!waits || task.claimedRunner != null || !task.step.occurrence.canEndInValue(nowMs, 0)) {
            return false;
        }
        long slackMs = job.objectiveMs - job.request.criticalPathMs();
        return nowMs - task.readySinceMs >= Math.max(MIN_OVERTAKEN_MS, OVERTAKEN_FRACTION_OF_SLACK * slackMs);
    }

    private int maxReservations() {
        int listed = 0;
        for (RunnerState runner : fleet.all()) {
            if (runner.listed) {
                listed++;
            }
        }
        return Math.max(1, (int) (MAX_RESERVED_FRACTION * listed));
    }

    /**
     * Returns the runner on which a task is expected to fit soonest, among those on which it fits beside the long-running
     * tasks and that have not been reserved for it in vain. Capacity that is being freed for others is left to them.
     */
    private Optional<ExpectedFit> soonestFit(TaskState task, long nowMs) {
        Resources need = task.step.spec.reservedResources();
        ExpectedFit soonest = null;
        for (RunnerState runner : fleet.all()) {
            if (runner.reservedFor != null || !runner.claimedResources.equals(Resources.NONE)) {
                continue;
            }
            if (task.reservedRunners.contains(runner.id) || !runnerSelector.isEligible(task, runner, nowMs)) {
                continue;
            }
            if (!runner.longRunningResources.plus(need).fitsIn(runner.capacity())) {
                continue;
            }
            long inMs = expectedFitMs(runner, need, nowMs);
            if (soonest == null || inMs < soonest.inMs()) {
                soonest = new ExpectedFit(runner, inMs);
            }
        }
        return Optional.ofNullable(soonest);
    }

    /** Returns the time until enough short tasks are expected to have ended on a runner for a need to fit. */
    private static long expectedFitMs(RunnerState runner, Resources need, long nowMs) {
        List<TaskState> shortTasks = new ArrayList<>();
        for (TaskState task : runner.tasks.values()) {
            if (!task.step.spec.hasTrait(Trait.RESTART_ALWAYS)) {
                shortTasks.add(task);
            }
        }
        shortTasks.sort(Comparator.comparingLong(task -> task.expectedRemainingMs(nowMs)));
        Resources reserved = runner.reservedResources.plus(need);
        long inMs = 0;
        for (TaskState ending : shortTasks) {
            if (reserved.fitsIn(runner.capacity())) {
                break;
            }
            reserved = reserved.minus(ending.step.spec.reservedResources());
            inMs = ending.expectedRemainingMs(nowMs);
        }
        return inMs;
    }

    private void releaseInvalid(long nowMs) {
        for (Map.Entry<TaskState, Reservation> entry : new ArrayList<>(reservations.entrySet())) {
            TaskState task = entry.getKey();
            Reservation reservation = entry.getValue();
            boolean waits = task.step.runsToCompletion() ? mustNotBeOvertaken(task, nowMs) : isOverdue(task, nowMs);
            boolean valid = waits
                    && !task.step.job.status.isFinal()
                    && runnerSelector.isEligible(task, reservation.runner(), nowMs);
            if (!valid) {
                task.reservedRunners.remove(reservation.runner().id);
                release(task);
            } else if (nowMs >= reservation.endMs()
                    && runnerSelector
                            .obstacle(task, reservation.runner(), nowMs)
                            .isPresent()) {
                release(task);
                if (task.reservedRunners.size() % MAX_RESERVATIONS_IN_A_ROW == 0) {
                    task.nextReservationAtMs = nowMs + RESERVATION_PAUSE_MS;
                }
            }
        }
    }
}
