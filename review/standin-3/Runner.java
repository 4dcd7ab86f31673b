import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A runner of the users' platform: it registers in the store, takes orders under a lease and reports what it runs. */
final class Runner {

    private static final long HEARTBEAT_MS = 1_100;
    private static final long MAX_LEASE_MS = 6_000;
    private static final long TICK_MS = 5;

    /** How long a run works, -1 for one that lasts, and how it ends. */
    record Work(long durationMs, String end) {}

    interface Job {
        Work work(String task, int run, Runner runner);

        Needs needs(String task);
    }

    /** What a task takes of its runner. */
    record Needs(long cpu, long memMb) {}

    static final class Run {
        final String task;
        final int run;
        final String spec;
        final Work work;
        final Needs needs;
        final long startedMs;
        long stopAtMs = Long.MAX_VALUE;

        Run(String task, int run, String spec, Work work, Needs needs, long startedMs) {
            this.task = task;
            this.run = run;
            this.spec = spec;
            this.work = work;
            this.needs = needs;
            this.startedMs = startedMs;
        }
    }

    interface Observer {
        void started(Runner runner, Run run);

        void ended(Runner runner, Run run, String how);
    }

    final String id;
    final String ip;
    final String service;
    final long cpu;
    final long memMb;
    final boolean rejectsOverload;
    final long stopMs;
    List<String> labels;

    private final Store store;
    private final Job job;
    private final Observer observer;
    private final Record record;
    private HttpServer server;
    private int port;
    private long bornMs;
    private long clockStartNanos;
    private boolean up;
    private long fence;
    private long leaseEndMs;
    private long lastNumber;
    private long heartbeatAtMs;
    private long sequence;
    private final Map<String, Run> running = new LinkedHashMap<>();
    private final List<List<Object>> finished = new ArrayList<>();
    private final Map<String, Integer> barred = new LinkedHashMap<>();

    Runner(
            String id,
            String ip,
            String service,
            long cpu,
            long memMb,
            boolean rejectsOverload,
            long stopMs,
            List<String> labels,
            Store store,
            Job job,
            Observer observer,
            Record record) {
        this.id = id;
        this.ip = ip;
        this.service = service;
        this.cpu = cpu;
        this.memMb = memMb;
        this.rejectsOverload = rejectsOverload;
        this.stopMs = stopMs;
        this.labels = labels;
        this.store = store;
        this.job = job;
        this.observer = observer;
        this.record = record;
    }

    /** Begins an incarnation, at the address of the former one. */
    synchronized void start() throws IOException {
        server = Http.serve(ip, port, (method, path, query, body, exchange) -> {
            String expected = exchange.getRequestHeaders().getFirst("X-Pollensill-Expect-Instance");
            if (expected != null && !expected.equals(id)) {
                return new Http.Answer(421, "{}");
            }
            return call(path, body, server);
        });
        port = server.getAddress().getPort();
        bornMs = Math.max(bornMs + 1, System.currentTimeMillis());
        clockStartNanos = System.nanoTime();
        fence = 0;
        leaseEndMs = 0;
        lastNumber = 0;
        heartbeatAtMs = 0;
        running.clear();
        finished.clear();
        barred.clear();
        up = true;
        HttpServer incarnation = server;
        Thread ticks = new Thread(() -> tickUntilDown(incarnation));
        ticks.setDaemon(true);
        ticks.start();
        record.log("runner " + id + " starts, born " + bornMs + ", labels " + labels);
    }

    /** Ends the incarnation as a crash does: all connections are reset and nothing runs any more. */
    synchronized void crash() {
        up = false;
        for (Run run : new ArrayList<>(running.values())) {
            observer.ended(this, run, "lost");
        }
        running.clear();
        server.stop(0);
        notifyAll();
        record.log("runner " + id + " crashes");
    }

    synchronized List<Run> runs() {
        return new ArrayList<>(running.values());
    }

    synchronized long usedCpu() {
        long used = 0;
        for (Run run : running.values()) {
            used += run.needs.cpu();
        }
        return used;
    }

    synchronized long usedMemMb() {
        long used = 0;
        for (Run run : running.values()) {
            used += run.needs.memMb();
        }
        return used;
    }

    private long clockMs() {
        return (System.nanoTime() - clockStartNanos) / 1_000_000;
    }

    private void tickUntilDown(HttpServer incarnation) {
        while (true) {
            synchronized (this) {
                if (!up || server != incarnation) {
                    return;
                }
                tick();
            }
            try {
                Thread.sleep(TICK_MS);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private void tick() {
        long nowMs = clockMs();
        if (nowMs >= heartbeatAtMs) {
            heartbeatAtMs = nowMs + HEARTBEAT_MS;
            Map<String, Object> entry = new LinkedHashMap<>();
            entry.put("Service", service);
            entry.put("Address", ip + ":" + port);
            entry.put("Zone", "caxias");
            entry.put("Version", "v1");
            entry.put("Slots", 8L);
            entry.put("State", "ready");
            entry.put("ColdRemainingMs", 0L);
            entry.put("Capacity", Map.of("Cpu", cpu, "MemMb", memMb, "Gpu", 0L));
            entry.put("Labels", labels);
            entry.put("ClockMs", nowMs);
            entry.put("Sequence", ++sequence);
            entry.put("born", bornMs);
            store.put("servers", id, Json.write(entry));
        }
        for (Run run : new ArrayList<>(running.values())) {
            boolean ends = run.work.durationMs() >= 0 && nowMs >= run.startedMs + run.work.durationMs();
            if (nowMs >= leaseEndMs) {
                end(run, "lapsed");
            } else if (ends) {
                end(run, run.work.end());
            } else if (nowMs >= run.stopAtMs) {
                end(run, "stopped");
            }
        }
    }

    private void end(Run run, String how) {
        running.remove(run.task);
        barred.merge(run.task, run.run, Math::max);
        finished.add(List.of(++lastNumber, run.task, (long) run.run, how, ""));
        observer.ended(this, run, how);
        notifyAll();
    }

    private Http.Answer call(String path, String body, HttpServer incarnation) throws InterruptedException {
        Map<String, Object> call = Json.object(body.isEmpty() ? "{}" : body);
        synchronized (this) {
            if (!up || server != incarnation) {
                return new Http.Answer(0, "");
            }
            if (path.equals("/health")) {
                return new Http.Answer(200, "");
            }
            long token = Json.number(call.get("FencingToken"));
            if (token < fence) {
                return refused("fence");
            }
            fence = token;
            switch (path) {
                case "/api/run-start":
                    return startRun(call);
                case "/api/run-stop":
                    return stopRun((String) call.get("Task"), (int) Json.number(call.get("Run")));
                case "/api/hold":
                    return hold(call, incarnation);
                case "/api/pace":
                    return accepted();
                default:
                    return new Http.Answer(404, "");
            }
        }
    }

    private Http.Answer accepted() {
        return new Http.Answer(200, Json.write(Map.of("ClockMs", clockMs())));
    }

    private Http.Answer refused(String reason) {
        return new Http.Answer(409, Json.write(Map.of("ClockMs", clockMs(), "Reason", reason)));
    }

    private void extendLease(Map<String, Object> call) {
        if (call.get("UntilMs") != null) {
            leaseEndMs = Math.max(leaseEndMs, Math.min(Json.number(call.get("UntilMs")), clockMs() + MAX_LEASE_MS));
        }
    }

    private Http.Answer startRun(Map<String, Object> call) {
        String task = (String) call.get("Task");
        int number = (int) Json.number(call.get("Run"));
        Run present = running.get(task);
        if (present != null && present.run == number) {
            extendLease(call);
            return accepted();
        }
        if (present != null || number <= barred.getOrDefault(task, 0)) {
            extendLease(call);
            return refused("old");
        }
        if (Json.number(call.get("UntilMs")) <= clockMs()) {
            return refused("late");
        }
        Needs needs = job.needs(task);
        boolean fits = usedCpu() + needs.cpu() <= cpu && usedMemMb() + needs.memMb() <= memMb;
        extendLease(call);
        if (!fits && rejectsOverload) {
            return refused("room");
        }
        Run run = new Run(
                task, number, (String) call.get("Spec"), job.work(task, number, this), needs, clockMs());
        running.put(task, run);
        observer.started(this, run);
        return accepted();
    }

    private Http.Answer stopRun(String task, int number) {
        Run present = running.get(task);
        if (present != null && present.run <= number) {
            present.stopAtMs = Math.min(present.stopAtMs, clockMs() + stopMs);
        } else {
            barred.merge(task, number, Math::max);
        }
        return accepted();
    }

    private Http.Answer hold(Map<String, Object> call, HttpServer incarnation) throws InterruptedException {
        extendLease(call);
        long acknowledged = Json.number(call.get("AckSeq"));
        Iterator<List<Object>> ends = finished.iterator();
        while (ends.hasNext()) {
            if (Json.number(ends.next().get(0)) <= acknowledged) {
                ends.remove();
            }
        }
        long endMs = clockMs() + Math.min(2_000, Json.number(call.get("WaitMs")));
        long known = lastNumber;
        while (up && server == incarnation && lastNumber == known && clockMs() < endMs) {
            wait(Math.max(1, endMs - clockMs()));
        }
        if (!up || server != incarnation) {
            return new Http.Answer(0, "");
        }
        List<Object> rows = new ArrayList<>();
        for (Run run : running.values()) {
            long percent = run.work.durationMs() < 0
                    ? 100
                    : Math.min(99, (clockMs() - run.startedMs) * 100 / Math.max(1, run.work.durationMs()));
            rows.add(List.of(run.task, (long) run.run, "", percent, 5L));
        }
        Map<String, Object> report = new LinkedHashMap<>();
        report.put("ClockMs", clockMs());
        report.put("born", bornMs);
        report.put("Running", rows);
        report.put("Finished", new ArrayList<>(finished.subList(0, Math.min(500, finished.size()))));
        return new Http.Answer(200, Json.write(report));
    }
}
