package org.pollensill.batch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import org.pollensill.worker.Resources;
import org.pollensill.worker.Worker;

/**
 * Evicts tasks from leaving and overloaded workers, and preempts less urgent tasks for urgent ones. Tasks of an
 * overloaded worker are throttled before one is evicted. Evictions for overload and for urgent tasks share one budget.
 */
final class Evictor {

    private static final long SECOND_NS = 1_000_000_000L;
    private static final double MINUTE_NS = 60e9;

    /** Time for a throttle to show in delayed usage reports before a task is evicted. */
    private static final long THROTTLE_EFFECT_NS = 5 * SECOND_NS;

    /** Time for which a worker is reserved for the urgent task that its tasks were evicted for. */
    private static final long RESERVATION_NS = 3 * SECOND_NS;

    private static final int THROTTLED_PERCENT = 50;
    private static final int FULL_PERCENT = 100;

    /** Orders victims by urgency, least urgent first, then by run time, shortest first. */
    private static final Comparator<Run> VICTIM_ORDER = Comparator.<Run>comparingInt(
                    run -> -run.task.job().spec().urgency())
            .thenComparing(Comparator.<Run>comparingLong(run -> run.placedNs).reversed());

    private final ShardContext context;
    private final RunTable runs;
    private double tokens;
    private boolean refilled;
    private long lastRefillNs;
    private long lastCheckNs;

    Evictor(ShardContext context, RunTable runs) {
        this.context = context;
        this.runs = runs;
    }

    void tick(long nowNs) {
        if (refilled && nowNs - lastCheckNs < SECOND_NS) {
            return;
        }
        lastCheckNs = nowNs;
        refill(nowNs);
        if (!context.isConfirmed()) {
            return;
        }
        for (Worker worker : context.pool.workers()) {
            if (worker.isLeaving()) {
                runs.runsOn(worker.name()).forEach(run -> evict(run, "worker " + worker.name() + " is leaving", nowNs));
            } else {
                handlePressure(worker, nowNs);
            }
        }
    }

    private void refill(long nowNs) {
        int maxTokens = context.settings.evictionsPerMinute();
        tokens = refilled ? Math.min(maxTokens, tokens + maxTokens * ((nowNs - lastRefillNs) / MINUTE_NS)) : maxTokens;
        refilled = true;
        lastRefillNs = nowNs;
    }

    private void handlePressure(Worker worker, long nowNs) {
        List<Run> running = runs.runsOn(worker.name()).stream()
                .filter(run -> run.running && run.task.state() == TaskState.PLACED)
                .sorted(VICTIM_ORDER)
                .toList();
        int usagePercent = usagePercent(worker, running);
        int latencyPercent = worker.latencyPercent();
        int releasePercent = context.settings.releasePercent();
        if (usagePercent < releasePercent && latencyPercent < releasePercent) {
            running.stream()
                    .filter(run -> run.throttlePercent < FULL_PERCENT)
                    .forEach(run -> throttle(run, FULL_PERCENT, nowNs));
            return;
        }
        boolean underPressure = usagePercent > FULL_PERCENT || latencyPercent >= context.settings.throttlePercent();
        if (!underPressure || running.isEmpty()) {
            return;
        }
        Optional<Run> unthrottled = running.stream()
                .filter(run -> run.throttlePercent == FULL_PERCENT)
                .findFirst();
        boolean throttlePending = running.stream()
                .anyMatch(run -> run.throttlePercent < FULL_PERCENT && nowNs - run.throttledNs < THROTTLE_EFFECT_NS);
        if (throttlePending) {
            return;
        }
        boolean anyThrottled = running.stream().anyMatch(run -> run.throttlePercent < FULL_PERCENT);
        if (!anyThrottled && unthrottled.isPresent()) {
            throttle(unthrottled.get(), THROTTLED_PERCENT, nowNs);
            return;
        }
        String reason = latencyPercent >= context.settings.throttlePercent()
                ? "latency of latency-critical requests on " + worker.name() + " is at " + latencyPercent
                        + "% of its bound"
                : "batch usage on " + worker.name() + " is at " + usagePercent + "% of its limit";
        if (tokens >= 1 && evict(running.get(0), reason, nowNs)) {
            tokens -= 1;
        }
    }

    /**
     * Returns the usage in percent of the limit: the measured usage or, if the allocations exceed the limit, the larger
     * of the measured and the allocated amount. Accelerators are left out.
     */
    private static int usagePercent(Worker worker, List<Run> running) {
        Resources used = Resources.NONE;
        for (Run run : running) {
            used = used.plus(run.usage);
        }
        Resources limit = worker.capacity().limit();
        Resources allocated = worker.capacity().allocated();
        if (!allocated.fitsIn(limit)) {
            used = used.max(allocated);
        }
        Resources divisible = new Resources(used.processorsMillicores(), used.memoryBytes(), 0);
        double share = divisible.dominantShare(limit);
        return (int) Math.min(Integer.MAX_VALUE, Math.round(share * FULL_PERCENT));
    }

    private void throttle(Run run, int percent, long nowNs) {
        run.throttlePercent = percent;
        run.throttledNs = nowNs;
        context.call(run, new WorkerCall.Throttle(context.epoch(), run.task.id(), run.attempt, percent));
    }

    private boolean evict(Run run, String reason, long nowNs) {
        if (!run.sent || !run.isCurrent() || run.task.state() != TaskState.PLACED) {
            return false;
        }
        if (run.task.job().state() != JobState.ACTIVE) {
            return false;
        }
        String checkpointId = run.task.job().id() + "." + run.task.index() + "." + run.attempt + "."
                + Long.toHexString(context.random.nextLong());
        context.append(new LogRecord.EvictionBegun(run.task.id(), run.attempt, checkpointId, reason));
        context.event(
                3101,
                "task " + run.task.id() + " attempt " + run.attempt + " is evicted from " + run.worker.name() + ": "
                        + reason);
        return true;
    }

    /** Evicts less urgent tasks from one worker so that the requested task fits there, if the budget allows it. */
    boolean preemptFor(PlacementRequest request, int urgency, long nowNs) {
        refill(nowNs);
        List<Run> fewestVictims = List.of();
        Worker chosen = null;
        for (Worker worker : context.pool.workers()) {
            if (!worker.admits(nowNs) || request.avoided().contains(worker.name())) {
                continue;
            }
            List<Run> victims = victims(worker, request.size(), urgency);
            if (!victims.isEmpty() && (chosen == null || victims.size() < fewestVictims.size())) {
                chosen = worker;
                fewestVictims = victims;
            }
        }
        if (chosen == null || tokens < fewestVictims.size()) {
            return false;
        }
        tokens -= fewestVictims.size();
        String reason = "preempted for urgent job " + request.jobId();
        fewestVictims.forEach(run -> evict(run, reason, nowNs));
        context.pool.reserveForUrgent(chosen, nowNs + RESERVATION_NS);
        return true;
    }

    /** Returns the tasks to evict from a worker, empty if that would not free enough capacity. */
    private List<Run> victims(Worker worker, Resources size, int urgency) {
        Resources limit = worker.capacity().limit();
        if (!size.fitsIn(limit)) {
            return List.of();
        }
        Resources allocated = worker.capacity().allocated();
        List<Run> victims = new ArrayList<>();
        for (Run run : runs.runsOn(worker.name()).stream().sorted(VICTIM_ORDER).toList()) {
            if (size.fitsIn(limit.minus(allocated))) {
                break;
            }
            boolean evictable = run.sent && run.task.state() == TaskState.PLACED;
            if (evictable && run.task.job().spec().urgency() > urgency) {
                victims.add(run);
                allocated = allocated.minus(run.task.allocated());
            }
        }
        return size.fitsIn(limit.minus(allocated)) ? victims : List.of();
    }
}
