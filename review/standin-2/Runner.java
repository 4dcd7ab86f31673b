import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Stand-in of a runner. The text of a job's Spec tells it what a task needs and how long it takes: a JSON object with
 * cpu (thousandths of a core), mem (MB), ms (0 for a task that lasts), fills, and target (the TargetMs of a task that
 * serves).
 */
final class Runner {

    static final int CPU = Integer.getInteger("cpu", 16_000);
    static final int MEMORY_MB = Integer.getInteger("memory", 64_000);

    private static final long HEARTBEAT_MS = 1_500;
    private static final long HOLD_MAX_MS = 6_000;
    private static final long STOP_MS = Long.getLong("stop", 300);
    private static final long STARTUP_MS = 500;
    private static final long ADVANCE_MS = 10;

    /** The target divided by the tail of a task that serves, without tasks that fill beside it. */
    private static final double IDLE_SLACK = 2.2;

    /** How much that falls with the share of the processors that tasks use which fill. */
    private static final double SLACK_LOSS = 3;

    /** Learns what begins and ends. */
    interface Observer {
        void started(Runner runner, String task, long run, long fence);

        void ended(Runner runner, String task, long run, String how, boolean ordered);

        default void stopOrdered(Runner runner, String task, long run) {}

        default void tokenSeen(Runner runner, String path, long token, boolean accepted) {}
    }

    /** Whether runners reject what does not fit, as the service's RejectsOverload says. */
    private final boolean guards;

    /** A run at work. */
    final class Run {
        final String task;
        final long run;
        final long cpu;
        final long memMb;
        final long ms;
        final boolean fills;
        final long targetMs;
        final long beganMs = clockMs();
        double workedMs;
        long lastMs = beganMs;
        long pace = 100;
        long stopAtMs = Long.MAX_VALUE;

        private Run(String task, long run, Map<String, Object> spec) {
            this.task = task;
            this.run = run;
            this.cpu = Json.number(spec, "cpu", 0);
            this.memMb = Json.number(spec, "mem", 0);
            this.ms = Json.number(spec, "ms", 0);
            this.fills = Boolean.TRUE.equals(spec.get("fills"));
            this.targetMs = Json.number(spec, "target", 0);
        }

        long percent() {
            return Math.min(100, (long) (100 * workedMs / (ms == 0 ? STARTUP_MS : ms)));
        }
    }

    final String id;
    private final String ip;
    private final Store store;
    private final String service;
    private final String zone;
    private final Observer observer;
    private final ExecutorService threads;
    private final long zeroMs = System.nanoTime() / 1_000_000;
    private final long bornMs = System.currentTimeMillis();
    private final Map<String, Run> running = new LinkedHashMap<>();
    private final TreeMap<Long, Object> finished = new TreeMap<>();
    private final Map<String, Long> closedRuns = new HashMap<>();
    private HttpServer server;
    private long ends;
    private long fence;
    private long leaseEndMs;
    private long beats;
    private long lastHoldMs;
    private boolean up = true;

    Runner(String id, String ip, Store store, String service, String zone, boolean guards, Observer observer,
            ExecutorService threads, ScheduledExecutorService timers) throws IOException {
        this.id = id;
        this.ip = ip;
        this.store = store;
        this.service = service;
        this.zone = zone;
        this.guards = guards;
        this.observer = observer;
        this.threads = threads;
        this.server = Http.serve(new InetSocketAddress(ip, 0), threads, this::handle);
        timers.scheduleAtFixedRate(this::beat, 0, HEARTBEAT_MS, TimeUnit.MILLISECONDS);
        timers.scheduleAtFixedRate(this::advance, ADVANCE_MS, ADVANCE_MS, TimeUnit.MILLISECONDS);
    }

    private long clockMs() {
        return 50_000 + System.nanoTime() / 1_000_000 - zeroMs;
    }

    synchronized boolean up() {
        return up;
    }

    /** Returns the time since the last call of a renewal. */
    synchronized long sinceHoldMs() {
        return clockMs() - lastHoldMs;
    }

    synchronized List<Run> running() {
        return new ArrayList<>(running.values());
    }

    synchronized long cpuInUse() {
        return running.values().stream().filter(run -> !run.fills).mapToLong(run -> run.cpu).sum();
    }

    synchronized long memoryInUse() {
        return running.values().stream().mapToLong(run -> run.memMb).sum();
    }

    private synchronized void beat() {
        if (!up) {
            return;
        }
        beats++;
        store.write("servers", id, Json.write(Json.of(
                "Service", service,
                "Address", ip + ":" + server.getAddress().getPort(),
                "Zone", zone,
                "Version", "v1",
                "Slots", 8,
                "State", "ready",
                "ColdRemainingMs", 0,
                "Capacity", Json.of("Cpu", CPU, "MemMb", MEMORY_MB, "Gpu", 0),
                "Labels", List.of("a", "r1-" + zone),
                "Sequence", beats,
                "born", bornMs)));
    }

    /** The runner is lost for good; its entry goes after three heartbeat intervals of silence. */
    void crash(ScheduledExecutorService timers) {
        List<Run> lost;
        synchronized (this) {
            up = false;
            lost = new ArrayList<>(running.values());
            running.clear();
            notifyAll();
        }
        server.stop(0);
        lost.forEach(run -> observer.ended(this, run.task, run.run, "crash", false));
        timers.schedule(() -> store.write("servers", id, null), 3 * HEARTBEAT_MS, TimeUnit.MILLISECONDS);
    }

    void stop() {
        synchronized (this) {
            up = false;
            notifyAll();
        }
        server.stop(0);
    }

    private synchronized void advance() {
        long now = clockMs();
        for (Run run : new ArrayList<>(running.values())) {
            run.workedMs += (now - run.lastMs) * (run.fills ? run.pace / 100.0 : 1);
            run.lastMs = now;
            if (now >= run.stopAtMs) {
                end(run, "stopped");
            } else if (now >= leaseEndMs) {
                end(run, "lapsed");
            } else if (run.ms > 0 && run.workedMs >= run.ms) {
                end(run, "done");
            }
        }
    }

    private void end(Run run, String how) {
        running.remove(run.task);
        closedRuns.merge(run.task, run.run, Math::max);
        ends++;
        finished.put(ends, List.of(ends, run.task, run.run, how, ""));
        observer.ended(this, run.task, run.run, how, how.equals("stopped"));
        notifyAll();
    }

    private Http.Answer refuse(String reason) {
        return new Http.Answer(409, Json.write(Json.of("ClockMs", clockMs(), "Reason", reason)));
    }

    private Http.Answer accept() {
        return new Http.Answer(200, Json.write(Json.of("ClockMs", clockMs())));
    }

    private synchronized Http.Answer handle(HttpExchange exchange, String body) throws InterruptedException {
        if (!up) {
            return new Http.Answer(0, "");
        }
        String expected = exchange.getRequestHeaders().getFirst("X-Pollensill-Expect-Instance");
        if (expected != null && !expected.equals(id)) {
            return new Http.Answer(421, "");
        }
        Map<String, Object> order = Json.object(body);
        String path = exchange.getRequestURI().getPath();
        long token = Json.number(order, "FencingToken", 0);
        observer.tokenSeen(this, path, token, token >= fence);
        if (token < fence) {
            return refuse("fence");
        }
        fence = token;
        String task = Json.string(order, "Task");
        long run = Json.number(order, "Run", 0);
        switch (path) {
            case "/api/run-start":
                return start(order, task, run);
            case "/api/run-stop":
                observer.stopOrdered(this, task, run);
                Run stopped = running.get(task);
                if (stopped != null && stopped.run == run) {
                    stopped.stopAtMs = Math.min(stopped.stopAtMs, clockMs() + STOP_MS);
                } else {
                    closedRuns.merge(task, run, Math::max);
                }
                return accept();
            case "/api/pace":
                Run paced = running.get(task);
                if (paced == null || paced.run != run) {
                    return refuse("old");
                }
                paced.pace = Json.number(order, "Percent", 100);
                return accept();
            case "/api/hold":
                return hold(order);
            default:
                return new Http.Answer(404, "");
        }
    }

    private void extend(Map<String, Object> order) {
        long until = Json.number(order, "UntilMs", 0);
        leaseEndMs = Math.max(leaseEndMs, Math.min(until, clockMs() + HOLD_MAX_MS));
    }

    private Http.Answer start(Map<String, Object> order, String task, long run) {
        if (Json.number(order, "UntilMs", 0) <= clockMs()) {
            return refuse("late");
        }
        extend(order);
        Run present = running.get(task);
        if (present != null && present.run == run) {
            return accept();
        }
        if (present != null || run <= closedRuns.getOrDefault(task, 0L)) {
            return refuse("old");
        }
        Run begun = new Run(task, run, Json.object(Json.string(order, "Spec")));
        boolean fits = cpuInUse() + (begun.fills ? 0 : begun.cpu) <= CPU && memoryInUse() + begun.memMb <= MEMORY_MB;
        if (guards && !fits) {
            return refuse("room");
        }
        running.put(task, begun);
        observer.started(this, task, run, fence);
        return accept();
    }

    private Http.Answer hold(Map<String, Object> order) throws InterruptedException {
        lastHoldMs = clockMs();
        extend(order);
        finished.headMap(Json.number(order, "AckSeq", 0), true).clear();
        long endMs = clockMs() + Math.min(2_000, Json.number(order, "WaitMs", 0));
        while (up && finished.isEmpty() && clockMs() < endMs) {
            wait(Math.max(1, endMs - clockMs()));
        }
        if (!up) {
            return new Http.Answer(0, "");
        }
        List<Object> runs = new ArrayList<>();
        for (Run run : running.values()) {
            runs.add(List.of(run.task, run.run, "", run.percent(), measurement(run)));
        }
        List<Object> ended = new ArrayList<>(finished.values());
        return new Http.Answer(200, Json.write(Json.of(
                "ClockMs", clockMs(),
                "born", bornMs,
                "Running", runs,
                "Finished", ended.subList(0, Math.min(500, ended.size())))));
    }

    /** The tail of a task that serves, which tasks that fill raise; otherwise the processors in use. */
    private long measurement(Run run) {
        if (run.targetMs == 0) {
            return run.cpu * run.pace / 100;
        }
        return tailMs(run);
    }

    private long tailMs(Run serving) {
        double fillingShare = 0;
        for (Run run : running.values()) {
            fillingShare += run.fills ? run.cpu * run.pace / 100.0 / CPU : 0;
        }
        return Math.round(serving.targetMs / Math.max(0.1, IDLE_SLACK - SLACK_LOSS * fillingShare));
    }

    /** Returns whether the tail of a task that serves is over its target. */
    synchronized boolean overTarget() {
        return running.values().stream().anyMatch(run -> run.targetMs > 0 && tailMs(run) > run.targetMs);
    }
}
