package org.pollensill.dispatch;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.pollensill.job.TaskName;
import org.pollensill.runner.EndKind;

/**
 * Measures how long tasks that had a run are without one: after a takeover, until the next run begins, and after a
 * restart of the runner that held the run.
 */
final class WithoutRunTimes {

    /** Time after a takeover in which a run that ends early counts as lost by the takeover. */
    private static final long TAKEOVER_EFFECT_MS = 5_000;

    /**
     * Mean and 95th percentile of the waits.
     *
     * @param count number of waits
     * @param meanMs their mean
     * @param p95Ms their 95th percentile
     */
    record Summary(int count, long meanMs, long p95Ms) {

        static Summary of(List<Long> durationsMs) {
            if (durationsMs.isEmpty()) {
                return new Summary(0, 0, 0);
            }
            List<Long> sorted = new ArrayList<>(durationsMs);
            Collections.sort(sorted);
            long sumMs = 0;
            for (long durationMs : sorted) {
                sumMs += durationMs;
            }
            return new Summary(sorted.size(), sumMs / sorted.size(), sorted.get((sorted.size() * 95 + 99) / 100 - 1));
        }
    }

    final List<Long> afterTakeoverMs = new ArrayList<>();
    final List<Long> afterRestartMs = new ArrayList<>();
    private final Map<TaskName, Long> waitsSinceTakeoverMs = new HashMap<>();
    private final Map<TaskName, Long> waitsSinceRestartMs = new HashMap<>();
    private final Set<TaskName> running = new HashSet<>();
    private final Set<TaskName> begun = new HashSet<>();
    private final Set<TaskName> done = new HashSet<>();
    private long takeoverAtMs = Long.MIN_VALUE / 2;

    void onTakeover(long nowMs) {
        takeoverAtMs = nowMs;
        for (TaskName task : begun) {
            if (!running.contains(task) && !done.contains(task)) {
                waitsSinceTakeoverMs.putIfAbsent(task, nowMs);
            }
        }
    }

    void onBegin(TaskName task, long nowMs) {
        begun.add(task);
        running.add(task);
        endWait(waitsSinceTakeoverMs, task, nowMs, afterTakeoverMs);
        endWait(waitsSinceRestartMs, task, nowMs, afterRestartMs);
    }

    private static void endWait(Map<TaskName, Long> waitsSinceMs, TaskName task, long nowMs, List<Long> durationsMs) {
        Long sinceMs = waitsSinceMs.remove(task);
        if (sinceMs != null) {
            durationsMs.add(nowMs - sinceMs);
        }
    }

    /** Counts the waits that have not ended. */
    void close(long nowMs) {
        waitsSinceTakeoverMs.values().forEach(sinceMs -> afterTakeoverMs.add(nowMs - sinceMs));
        waitsSinceRestartMs.values().forEach(sinceMs -> afterRestartMs.add(nowMs - sinceMs));
        waitsSinceTakeoverMs.clear();
        waitsSinceRestartMs.clear();
    }

    void onEnd(TaskName task, EndKind kind, long nowMs) {
        running.remove(task);
        if (kind == EndKind.DONE) {
            done.add(task);
            waitsSinceTakeoverMs.remove(task);
            waitsSinceRestartMs.remove(task);
        } else if (nowMs - takeoverAtMs < TAKEOVER_EFFECT_MS) {
            waitsSinceTakeoverMs.putIfAbsent(task, nowMs);
        }
    }

    void onCrash(TaskName task, long nowMs) {
        running.remove(task);
        waitsSinceRestartMs.putIfAbsent(task, nowMs);
        if (nowMs - takeoverAtMs < TAKEOVER_EFFECT_MS) {
            waitsSinceTakeoverMs.putIfAbsent(task, nowMs);
        }
    }
}
