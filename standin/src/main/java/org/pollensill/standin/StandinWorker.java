package org.pollensill.standin;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Random;

import com.fasterxml.jackson.databind.JsonNode;
import org.pollensill.platform.Host;

/** Simulated worker that runs tasks under leases, timed by its own clock, and reports their usage with a lag. */
final class StandinWorker implements HttpListener.Handler {

    private final Host host;
    private final TaskLedger ledger;
    private final Clock clock;
    private final long usageLagMs;
    private final Random random;
    // Each worker has a different clock origin, because real workers boot at different times.
    private final long clockOffsetMs;
    private final Map<String, WorkerTask> tasks = new LinkedHashMap<>();
    private final Map<String, Integer> lastAttempts = new LinkedHashMap<>();
    private long epoch;
    private boolean failsAllStarts;
    private boolean crashed;

    StandinWorker(Host host, TaskLedger ledger, Clock clock, long usageLagMs, long seed) {
        this.host = Objects.requireNonNull(host, "host is null");
        this.ledger = Objects.requireNonNull(ledger, "ledger is null");
        this.clock = Objects.requireNonNull(clock, "clock is null");
        this.usageLagMs = usageLagMs;
        this.random = new Random(seed);
        this.clockOffsetMs = 1000 + random.nextInt(1_000_000);
    }

    @Override
    public synchronized void handle(Exchange exchange) throws IOException {
        if (crashed) {
            exchange.closeWithoutAnswer();
            return;
        }
        tick();
        if (exchange.path().equals("/report")) {
            exchange.answer(200, report());
            return;
        }
        JsonNode request = exchange.json();
        long requestEpoch = request.path("epoch").asLong();
        if (requestEpoch < epoch) {
            exchange.answer(409, Map.of("result", "stale-epoch", "epoch", epoch));
            return;
        }
        epoch = requestEpoch;
        String result = execute(exchange.path(), request);
        boolean accepted = List.of("started", "already-running", "ok").contains(result);
        exchange.answer(accepted ? 200 : 409, Map.of("result", result, "workerClockMs", nowMs()));
    }

    private String execute(String path, JsonNode request) {
        switch (path) {
            case "/start":
                return start(request);
            case "/renew":
                request.path("leases")
                        .forEach(lease -> findTask(lease)
                                .filter(WorkerTask::isRunning)
                                .ifPresent(task -> task.renew(
                                        lease.path("leaseUntilWorkerClockMs").asLong())));
                return "ok";
            case "/throttle":
                findTask(request)
                        .ifPresent(task -> task.throttle(request.path("percent").asInt(100), nowMs()));
                return "ok";
            case "/checkpoint":
                findTask(request).filter(WorkerTask::isRunning).ifPresent(task -> {
                    String id = request.path("checkpointId").asText();
                    task.checkpoint(id, nowMs());
                    ledger.checkpointed(id, task.progressMs(nowMs()));
                    ledger.ended(host.name(), task.task(), task.attempt(), "checkpointed");
                });
                return "ok";
            case "/stop":
                stop(request);
                return "ok";
            case "/acknowledge":
                request.path("finished")
                        .forEach(reference -> findTask(reference)
                                .filter(task -> !task.isRunning())
                                .ifPresent(task -> tasks.remove(task.task())));
                return "ok";
            default:
                return "no such path";
        }
    }

    /** Also records the stop of an unknown attempt, so that a start of it that arrives later is refused as stale. */
    private void stop(JsonNode request) {
        lastAttempts.merge(
                request.path("task").asText(), request.path("attempt").asInt(), Math::max);
        findTask(request).filter(WorkerTask::isRunning).ifPresent(task -> end(task, "stopped", "stopped"));
    }

    private String start(JsonNode request) {
        String task = request.path("task").asText();
        int attempt = request.path("attempt").asInt();
        WorkerTask existing = tasks.get(task);
        if (existing != null && existing.attempt() == attempt && existing.isRunning()) {
            return "already-running";
        }
        if (lastAttempts.getOrDefault(task, Integer.MIN_VALUE) >= attempt) {
            return "stale-attempt";
        }
        if (nowMs() > request.path("startBeforeWorkerClockMs").asLong()) {
            return "late";
        }
        if (existing != null && existing.isRunning()) {
            end(existing, "stopped", "newer attempt");
        }
        if (!fits(request)) {
            return "full";
        }
        lastAttempts.put(task, attempt);
        long progressMs = ledger.started(
                host.name(), task, attempt, request.path("resumeFrom").asText(""));
        // Declared sizes are inaccurate: actual usage is between 30% and 110% of them.
        WorkerTask started = new WorkerTask(request, progressMs, nowMs(), 0.3 + 0.8 * random.nextDouble());
        tasks.put(task, started);
        if (failsAllStarts) {
            end(started, "failed", "exit 1");
        }
        return "started";
    }

    private boolean fits(JsonNode request) {
        long millicores = request.path("processorsMillicores").asLong();
        long memoryBytes = request.path("memoryBytes").asLong();
        long accelerators = request.path("accelerators").asLong();
        for (WorkerTask task : tasks.values()) {
            if (task.isRunning()) {
                millicores += task.declaredMillicores();
                memoryBytes += task.declaredMemoryBytes();
                accelerators += task.accelerators();
            }
        }
        return millicores <= host.processorsMillicores()
                && memoryBytes <= host.memoryBytes()
                && accelerators <= host.accelerators();
    }

    private java.util.Optional<WorkerTask> findTask(JsonNode reference) {
        WorkerTask task = tasks.get(reference.path("task").asText());
        boolean same =
                task != null && task.attempt() == reference.path("attempt").asInt();
        return same ? java.util.Optional.of(task) : java.util.Optional.empty();
    }

    private void end(WorkerTask task, String state, String reason) {
        task.end(state, reason, nowMs());
        ledger.ended(host.name(), task.task(), task.attempt(), state);
    }

    /** Ends tasks that are complete or whose lease has lapsed, and samples the usage of the others. */
    synchronized void tick() {
        long nowMs = nowMs();
        for (WorkerTask task : tasks.values()) {
            if (!task.isRunning()) {
                continue;
            }
            if (task.isLapsed(nowMs)) {
                end(task, "stopped", "lease lapsed");
            } else if (task.isDone(nowMs)) {
                end(task, "finished", "exit 0");
            } else {
                task.sample(nowMs, usageLagMs);
            }
        }
    }

    private Map<String, Object> report() {
        List<Map<String, Object>> reports = new ArrayList<>();
        tasks.values().forEach(task -> reports.add(task.report(nowMs(), usageLagMs)));
        Map<String, Object> report = new LinkedHashMap<>();
        report.put("worker", host.name());
        report.put("workerClockMs", nowMs());
        report.put("epoch", epoch);
        report.put("tasks", reports);
        report.put("usageAgeMs", usageLagMs);
        return report;
    }

    synchronized void failAllStarts(boolean on) {
        failsAllStarts = on;
    }

    synchronized void lapseLeases() {
        tasks.values().forEach(task -> task.lapse(nowMs()));
        tick();
    }

    /** Simulates a crash: all tasks end, and every request is dropped without an answer. */
    synchronized void crash() {
        crashed = true;
        tasks.values().stream()
                .filter(WorkerTask::isRunning)
                .toList()
                .forEach(task -> end(task, "stopped", "worker died"));
        tasks.clear();
    }

    /** Simulates a reboot: the worker answers again, without tasks and without a record of earlier attempts. */
    synchronized void reboot() {
        crashed = false;
        epoch = 0;
        lastAttempts.clear();
    }

    private long nowMs() {
        return clock.nowMs() + clockOffsetMs;
    }
}
