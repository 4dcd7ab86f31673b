package org.pollensill.admission;

import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * The room of a service and the work that waits for it, as the leader sees them. Jobs that can still meet their
 * objective are placed before late ones, of these the ones of a lower number of priority first, then those that came
 * first.
 *
 * @param roomMillicores the processors that run-to-completion tasks of a size can use, by {@link #SIZE_BOUNDS_MILLICORES}:
 *     a runner counts with as much as whole tasks of that size take
 * @param work the unfinished work by priority
 */
public record ServiceForecast(List<Long> roomMillicores, Map<Integer, QueuedWork> work) {

    /** Upper bounds of the sizes of tasks that are told apart; larger ones count as the last. */
    public static final List<Long> SIZE_BOUNDS_MILLICORES = List.of(1_000L, 2_000L, 4_000L, 8_000L, 16_000L, 32_000L);

    /** Part of the room that counts as free for waiting work however much arrives, since arrivals change. */
    private static final double MIN_DRAIN_FRACTION = 0.1;

    /**
     * Creates a forecast.
     *
     * @throws NullPointerException if an argument is null
     * @throws IllegalArgumentException if the room is not given for each size
     */
    public ServiceForecast {
        roomMillicores = List.copyOf(Objects.requireNonNull(roomMillicores, "roomMillicores is null"));
        work = Map.copyOf(Objects.requireNonNull(work, "work is null"));
        if (roomMillicores.size() != SIZE_BOUNDS_MILLICORES.size()) {
            throw new IllegalArgumentException("room for " + roomMillicores.size() + " sizes");
        }
    }

    /**
     * Returns the processors that tasks of a size can use.
     *
     * @param needMillicores the need of a task
     * @return the processors, 0 where no runner takes such a task
     */
    public long roomFor(long needMillicores) {
        return roomMillicores.get(sizeClass(needMillicores));
    }

    /**
     * Returns the size class of a task.
     *
     * @param needMillicores the need of the task
     * @return the index of its upper bound
     */
    public static int sizeClass(long needMillicores) {
        for (int i = 0; i < SIZE_BOUNDS_MILLICORES.size(); i++) {
            if (needMillicores <= SIZE_BOUNDS_MILLICORES.get(i)) {
                return i;
            }
        }
        return SIZE_BOUNDS_MILLICORES.size() - 1;
    }

    /** Returns the expected time until a job that comes now is placed before it is late. */
    long inTimeWaitMs(int priority, long needMillicores) {
        long aheadMillicoreMs = 0;
        long urgentMillicores = 0;
        for (Map.Entry<Integer, QueuedWork> entry : work.entrySet()) {
            aheadMillicoreMs += entry.getKey() <= priority ? entry.getValue().inTimeMillicoreMs() : 0;
            urgentMillicores += entry.getKey() < priority ? entry.getValue().arrivingMillicores() : 0;
        }
        return waitMs(aheadMillicoreMs, roomFor(needMillicores), urgentMillicores);
    }

    /** Returns the same for a job that will be late: it then waits behind all that are in time and the late ones before it. */
    long lateWaitMs(int priority, long needMillicores) {
        long aheadMillicoreMs = 0;
        long arrivingMillicores = 0;
        for (Map.Entry<Integer, QueuedWork> entry : work.entrySet()) {
            QueuedWork queued = entry.getValue();
            aheadMillicoreMs += queued.inTimeMillicoreMs();
            aheadMillicoreMs += entry.getKey() <= priority ? queued.lateMillicoreMs() : 0;
            arrivingMillicores += queued.arrivingMillicores();
        }
        return waitMs(aheadMillicoreMs, roomFor(needMillicores), arrivingMillicores);
    }

    private static long waitMs(long aheadMillicoreMs, long roomMillicores, long arrivingMillicores) {
        double drainMillicores = Math.max(MIN_DRAIN_FRACTION * roomMillicores, roomMillicores - arrivingMillicores);
        return drainMillicores <= 0 ? 0 : (long) (aheadMillicoreMs / drainMillicores);
    }
}
