package org.pollensill.dispatch;

import java.util.Collections;
import java.util.EnumMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import org.pollensill.job.TaskName;
import org.pollensill.worker.Resources;

/**
 * Explains why a task of a ready step waits.
 *
 * @param task the task that has waited longest of its step
 * @param longRunning whether the task runs until its job is cancelled
 * @param waitedMs time since the task became ready or was last released from a runner, in milliseconds
 * @param waitingTasks number of tasks of its step without a runner
 * @param need resources that the task needs; a best-effort task does not reserve the processors
 * @param runnersByObstacle number of listed runners by the first obstacle found, without zeros; NO_MATCH goes first
 * @param fittingRunners number of listed runners that could take the task by itself; a gang needs room for all its tasks
 * @param slotReserved whether the only free slot is reserved for short tasks
 * @param overtaken number of placements of tasks of other steps since {@code waitedMs} ago, of any urgency and size, on
 *     runners with the service and label that the task requires; 0 after its queue has changed to another service
 */
public record WaitReport(
        TaskName task,
        boolean longRunning,
        long waitedMs,
        int waitingTasks,
        Resources need,
        Map<PlacementObstacle, Integer> runnersByObstacle,
        int fittingRunners,
        boolean slotReserved,
        long overtaken) {

    /**
     * Creates a report.
     *
     * @throws NullPointerException if an argument is null
     * @throws IllegalArgumentException if a number is negative
     */
    public WaitReport {
        Objects.requireNonNull(task, "task is null");
        Objects.requireNonNull(need, "need is null");
        Objects.requireNonNull(runnersByObstacle, "runnersByObstacle is null");
        if (waitedMs < 0 || waitingTasks < 0 || fittingRunners < 0 || overtaken < 0) {
            throw new IllegalArgumentException(
                    "negative number: " + waitedMs + ", " + waitingTasks + ", " + fittingRunners + ", " + overtaken);
        }
        Map<PlacementObstacle, Integer> copy = new EnumMap<>(PlacementObstacle.class);
        copy.putAll(runnersByObstacle);
        runnersByObstacle = Collections.unmodifiableMap(copy);
    }

    /**
     * Returns the most frequent obstacle among the runners with the right service and label, or else
     * {@link PlacementObstacle#NO_MATCH}.
     *
     * @return the obstacle, empty where no runner has one
     */
    public Optional<PlacementObstacle> mainObstacle() {
        PlacementObstacle main = null;
        for (Map.Entry<PlacementObstacle, Integer> counted : runnersByObstacle.entrySet()) {
            if (counted.getKey() == PlacementObstacle.NO_MATCH) {
                continue;
            }
            if (main == null || counted.getValue() > runnersByObstacle.get(main)) {
                main = counted.getKey();
            }
        }
        if (main == null && runnersByObstacle.containsKey(PlacementObstacle.NO_MATCH)) {
            return PlacementObstacle.NO_MATCH.found();
        }
        return Optional.ofNullable(main);
    }
}
