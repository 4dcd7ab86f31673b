package org.pollensill.dispatch;

import java.util.Optional;

import org.pollensill.dispatch.DispatchListener.Cause;
import org.pollensill.job.Trait;
import org.pollensill.worker.Resources;

/**
 * Makes room for short tasks on a full fleet by stopping tasks that last, which earn little for each second that they
 * hold a processor. They wait until the short tasks have had their turn.
 */
final class RoomMaker {

    /** Most tasks of a step that may be away for this reason, as a part of the step, where it sets no bound itself. */
    private static final double MOST_AWAY_PART = 0.34;

    private final Fleet fleet;
    private final Placement placement;
    private final Reports reports;

    RoomMaker(Fleet fleet, Placement placement, Reports reports) {
        this.fleet = fleet;
        this.placement = placement;
        this.reports = reports;
    }

    /** A running task that lasts and the number of waiting tasks that fit in its place. */
    private record Victim(TaskState task, double gain) {}

    /**
     * Stops tasks that last until what becomes free suffices.
     *
     * @param waiting a task that finds no room
     * @param count number of such tasks in its step
     */
    void makeRoom(TaskState waiting, int count, long nowMs) {
        long missing = count * waiting.step.spec.need().processorsMillicores() - comingMillicores(waiting);
        while (missing > 0) {
            Optional<Victim> victim = bestVictim(waiting, nowMs);
            if (victim.isEmpty()) {
                return;
            }
            TaskState task = victim.get().task();
            reports.stop(task, Cause.PREEMPTED, nowMs);
            missing -= task.step.spec.need().processorsMillicores();
        }
    }

    /** Returns the processors that stops in progress are about to free. */
    private long comingMillicores(TaskState waiting) {
        long coming = 0;
        for (RunnerState runner : fleet.all()) {
            for (TaskState task : runner.tasks.values()) {
                if (task.stopping && isLasting(task) && task.step.job.service.equals(waiting.step.job.service)) {
                    coming += task.step.spec.need().processorsMillicores();
                }
            }
        }
        return coming;
    }

    private static boolean isLasting(TaskState task) {
        return task.step.spec.is(Trait.RESTART_ALWAYS);
    }

    private Optional<Victim> bestVictim(TaskState waiting, long nowMs) {
        Victim best = null;
        for (RunnerState runner : fleet.all()) {
            if (!placement.suits(waiting, runner, nowMs)) {
                continue;
            }
            for (TaskState task : runner.tasks.values()) {
                if (!mayStop(task, waiting)) {
                    continue;
                }
                double gain = gain(runner, task.step.spec.need(), waiting.step.spec.need());
                if (gain > 0 && (best == null || gain > best.gain())) {
                    best = new Victim(task, gain);
                }
            }
        }
        return Optional.ofNullable(best);
    }

    private static boolean mayStop(TaskState task, TaskState waiting) {
        if (!isLasting(task) || task.stopping || task.phase != TaskState.Phase.RUNNING) {
            return false;
        }
        if (task.step.job.status.isFinal() || task.step.job.priority < waiting.step.job.priority) {
            return false;
        }
        return task.step.mayLoseOne(MOST_AWAY_PART);
    }

    /** Returns which part of the freed processors further tasks would use. */
    private static double gain(RunnerState runner, Resources freed, Resources need) {
        Resources free = runner.capacity().minus(runner.counted);
        long more = timesIn(need, free.plus(freed)) - timesIn(need, free);
        return (double) more * need.processorsMillicores() / Math.max(1, freed.processorsMillicores());
    }

    /** Returns how many tasks fit. */
    private static long timesIn(Resources need, Resources room) {
        long times = Long.MAX_VALUE;
        if (need.processorsMillicores() > 0) {
            times = Math.min(times, room.processorsMillicores() / need.processorsMillicores());
        }
        if (need.memoryBytes() > 0) {
            times = Math.min(times, room.memoryBytes() / need.memoryBytes());
        }
        if (need.accelerators() > 0) {
            times = Math.min(times, room.accelerators() / need.accelerators());
        }
        return times == Long.MAX_VALUE ? 0 : Math.max(0, times);
    }
}
