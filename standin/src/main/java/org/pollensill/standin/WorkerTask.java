package org.pollensill.standin;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;

/** One attempt of a task at a worker. Guarded by the worker's lock. */
final class WorkerTask {

    private record Sample(long atMs, int processorsMillicores, long memoryBytes, long progressMs) {}

    private final String task;
    private final int attempt;
    private final long durationMs;
    private final int declaredMillicores;
    private final long declaredMemoryBytes;
    private final int accelerators;
    private final double usageFactor;
    private final Deque<Sample> samples = new ArrayDeque<>();
    private long leaseUntilMs;
    private double progressMs;
    private long progressAtMs;
    private int throttlePercent = 100;
    private String state = "running";
    private String exitReason = "";
    private String checkpointId = "";

    WorkerTask(JsonNode start, long resumedProgressMs, long nowMs, double usageFactor) {
        this.task = start.path("task").asText();
        this.attempt = start.path("attempt").asInt();
        this.durationMs = start.path("durationMs").asLong();
        this.declaredMillicores = start.path("processorsMillicores").asInt();
        this.declaredMemoryBytes = start.path("memoryBytes").asLong();
        this.accelerators = start.path("accelerators").asInt();
        this.leaseUntilMs = start.path("leaseUntilWorkerClockMs").asLong();
        this.usageFactor = usageFactor;
        this.progressMs = resumedProgressMs;
        this.progressAtMs = nowMs;
    }

    String task() {
        return task;
    }

    int attempt() {
        return attempt;
    }

    int declaredMillicores() {
        return declaredMillicores;
    }

    long declaredMemoryBytes() {
        return declaredMemoryBytes;
    }

    int accelerators() {
        return accelerators;
    }

    boolean isRunning() {
        return state.equals("running");
    }

    boolean isLapsed(long nowMs) {
        return nowMs >= leaseUntilMs;
    }

    boolean isDone(long nowMs) {
        return progressMs(nowMs) >= durationMs;
    }

    void renew(long untilMs) {
        leaseUntilMs = Math.max(leaseUntilMs, untilMs);
    }

    void lapse(long nowMs) {
        leaseUntilMs = nowMs;
    }

    void throttle(int percent, long nowMs) {
        progressMs = progressMs(nowMs);
        progressAtMs = nowMs;
        throttlePercent = Math.max(0, Math.min(100, percent));
    }

    long progressMs(long nowMs) {
        return (long) (progressMs + (isRunning() ? (nowMs - progressAtMs) * throttlePercent / 100.0 : 0));
    }

    void end(String endState, String reason, long nowMs) {
        progressMs = progressMs(nowMs);
        state = endState;
        exitReason = reason;
    }

    void checkpoint(String id, long nowMs) {
        end("checkpointed", "", nowMs);
        checkpointId = id;
    }

    /** Records the current usage and evicts samples that are older than the lag requires. */
    void sample(long nowMs, long lagMs) {
        int millicores = (int) (declaredMillicores * usageFactor * throttlePercent / 100);
        samples.add(new Sample(nowMs, millicores, (long) (declaredMemoryBytes * usageFactor), progressMs(nowMs)));
        while (samples.size() > 1 && secondSampleAtMs() <= nowMs - lagMs) {
            samples.removeFirst();
        }
    }

    private long secondSampleAtMs() {
        var iterator = samples.iterator();
        iterator.next();
        return iterator.next().atMs();
    }

    Map<String, Object> report(long nowMs, long lagMs) {
        Sample lagged = samples.peekFirst();
        if (lagged == null || lagged.atMs() > nowMs - lagMs) {
            lagged = new Sample(nowMs, 0, 0, 0);
        }
        Map<String, Object> usage = new LinkedHashMap<>();
        usage.put("processorsMillicores", lagged.processorsMillicores());
        usage.put("memoryBytes", lagged.memoryBytes());
        usage.put("progressPercent", durationMs == 0 ? 100 : Math.min(100, 100 * lagged.progressMs() / durationMs));
        Map<String, Object> report = new LinkedHashMap<>();
        report.put("task", task);
        report.put("attempt", attempt);
        report.put("state", state);
        report.put("exitReason", exitReason);
        report.put("checkpointId", checkpointId);
        report.put("usage", usage);
        return report;
    }
}
