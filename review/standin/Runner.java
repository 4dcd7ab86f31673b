import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.pollensill.json.JsonObject;

/** A sound runner: takes orders by call, keeps fences, leases and ends, and writes its entry into the store. */
final class Runner {
    static final int HEARTBEAT_MS = 1_500;
    static final long HOLD_MAX_MS = 6_000;
    private static final long STOP_MS = 300;
    private static final long PERCENT = 100;

    /** A run that began, as the check of a play reads it. */
    record Start(double atS, String task, int run, String runner, List<String> labels) {}

    /** A run that ended. */
    record End(double atS, String task, int run, String runner, String how) {}

    /** How a run behaves: its duration, and whether it fails at its end. */
    record Behaviour(long durationMs, boolean fails) {}

    /** Decides how a run behaves from its task and its Spec. */
    interface Work {
        Behaviour of(String task, int run, String spec);
    }

    private static final class Run {
        private String task;
        private int run;
        private long beginMs;
        private long endMs;
        private long stopMs = Long.MAX_VALUE;
        private boolean fails;
        private int cpu;
    }

    final String id;
    final String ip;
    final int port;
    private final String service;
    private final String zone;
    private final Store store;
    private final Journal journal;
    private final Work work;
    private final int capacityCpu;
    final List<Start> starts = new ArrayList<>();
    final List<End> ends = new ArrayList<>();
    private final Map<String, Run> running = new LinkedHashMap<>();
    private final Map<Long, String> finished = new LinkedHashMap<>();
    private final Map<String, Integer> closedRuns = new HashMap<>();
    private List<String> labels;
    private HttpServer server;
    private long bornMs;
    private long clockZeroNs;
    private long untilMs;
    private long fence;
    private long endCount;
    private long beats;
    private volatile boolean up;

    Runner(String id, String ip, int port, String service, String zone, List<String> labels, int capacityCpu,
            Store store, Journal journal, Work work) {
        this.id = id;
        this.ip = ip;
        this.port = port;
        this.service = service;
        this.zone = zone;
        this.labels = labels;
        this.capacityCpu = capacityCpu;
        this.store = store;
        this.journal = journal;
        this.work = work;
    }

    List<String> labels() {
        return labels;
    }

    synchronized int runningCount() {
        return running.size();
    }

    boolean isUp() {
        return up;
    }

    /** Begins an incarnation: it runs nothing, and has seen no fencing token. */
    synchronized void begin(List<String> newLabels) throws Exception {
        labels = newLabels;
        running.clear();
        finished.clear();
        closedRuns.clear();
        bornMs = System.currentTimeMillis();
        clockZeroNs = System.nanoTime() - 100_000_000L;
        untilMs = 0;
        fence = 0;
        endCount = 0;
        up = true;
        long incarnation = bornMs;
        beat(incarnation);
        server = Http.serve(ip, port, this::handle);
        journal.log("runner " + id + " has written its entry and begins, labels " + labels);
        sweep(incarnation);
    }

    /** Ends the process without a word; the entry stays for three heartbeat intervals. */
    synchronized void crash() {
        up = false;
        server.stop(0);
        for (Run run : running.values()) {
            ends.add(new End(journal.now(), run.task, run.run, id, "crash"));
        }
        journal.log("runner " + id + " crashes with " + running.size() + " runs");
        running.clear();
        long incarnation = bornMs;
        Journal.later(3L * HEARTBEAT_MS, () -> {
            if (!up && bornMs == incarnation) {
                store.write("servers", id, null);
            }
        });
    }

    private synchronized void beat(long incarnation) {
        if (!up || bornMs != incarnation) {
            return;
        }
        StringBuilder names = new StringBuilder();
        for (String label : labels) {
            names.append(names.length() == 0 ? "" : ",").append('"').append(label).append('"');
        }
        store.write("servers", id, "{\"Service\":\"" + service + "\",\"Address\":\"" + ip + ":" + port
                + "\",\"Zone\":\"" + zone + "\",\"Version\":\"v1\",\"Slots\":8,\"State\":\"ready\",\"ColdRemainingMs\":0,"
                + "\"Capacity\":{\"Cpu\":" + capacityCpu + ",\"MemMb\":64000,\"Gpu\":0},\"Labels\":[" + names
                + "],\"ClockMs\":" + clock() + ",\"Sequence\":" + ++beats + ",\"born\":" + bornMs + "}");
        Journal.later(HEARTBEAT_MS, () -> beat(incarnation));
    }

    private long clock() {
        return (System.nanoTime() - clockZeroNs) / 1_000_000;
    }

    private void sweep(long incarnation) {
        synchronized (this) {
            if (!up || bornMs != incarnation) {
                return;
            }
            advance();
        }
        Journal.later(10, () -> sweep(incarnation));
    }

    private void advance() {
        long nowMs = clock();
        for (Run run : new ArrayList<>(running.values())) {
            if (nowMs >= untilMs) {
                end(run, "lapsed");
            } else if (nowMs >= run.stopMs) {
                end(run, "stopped");
            } else if (nowMs >= run.endMs) {
                end(run, run.fails ? "failed" : "done");
            }
        }
    }

    private void end(Run run, String how) {
        running.remove(run.task);
        closedRuns.merge(run.task, run.run, Math::max);
        long number = ++endCount;
        finished.put(number, "[" + number + ",\"" + run.task + "\"," + run.run + ",\"" + how + "\",\"\"]");
        ends.add(new End(journal.now(), run.task, run.run, id, how));
        journal.log("runner " + id + " ends " + run.task + " run " + run.run + " " + how);
        notifyAll();
    }

    private Http.Response handle(
            String method, String path, Map<String, String> query, HttpExchange exchange, byte[] body) throws Exception {
        if (path.equals("/health")) {
            return new Http.Response(200, "");
        }
        String expected = exchange.getRequestHeaders().getFirst("X-Pollensill-Expect-Instance");
        if (expected != null && !expected.equals(id)) {
            return new Http.Response(421, "");
        }
        JsonObject order = JsonObject.parse(body);
        synchronized (this) {
            if (!up) {
                return null;
            }
            advance();
            long token = order.integer("FencingToken").orElse(0L);
            if (token < fence) {
                return refuse("fence");
            }
            fence = token;
            switch (path) {
                case "/api/run-start":
                    return start(order);
                case "/api/run-stop":
                    return stop(order);
                case "/api/hold":
                    return hold(order);
                case "/api/pace":
                    return new Http.Response(200, "{\"ClockMs\":" + clock() + "}");
                default:
                    return new Http.Response(404, "");
            }
        }
    }

    private Http.Response refuse(String reason) {
        return new Http.Response(409, "{\"ClockMs\":" + clock() + ",\"Reason\":\"" + reason + "\"}");
    }

    private void extend(JsonObject order) {
        if (order.integer("UntilMs").isPresent()) {
            untilMs = Math.max(untilMs, Math.min(order.integer("UntilMs").get(), clock() + HOLD_MAX_MS));
        }
    }

    private Http.Response start(JsonObject order) {
        String task = order.text("Task").orElse("");
        int run = order.integer("Run").orElse(0L).intValue();
        if (order.integer("UntilMs").orElse(0L) <= clock()) {
            return refuse("late");
        }
        extend(order);
        Run present = running.get(task);
        if (present != null && present.run == run) {
            return new Http.Response(200, "{\"ClockMs\":" + clock() + "}");
        }
        if (run <= closedRuns.getOrDefault(task, 0) || present != null) {
            return refuse("old");
        }
        String spec = order.text("Spec").orElse("");
        Run begun = new Run();
        begun.cpu = Integer.parseInt(spec.substring(spec.indexOf("cpu=") + 4).split(" ")[0]);
        int used = running.values().stream().mapToInt(other -> other.cpu).sum();
        if (used + begun.cpu > capacityCpu) {
            return refuse("room");
        }
        Behaviour behaviour = work.of(task, run, spec);
        begun.task = task;
        begun.run = run;
        begun.beginMs = clock();
        begun.endMs = begun.beginMs + behaviour.durationMs();
        begun.fails = behaviour.fails();
        running.put(task, begun);
        starts.add(new Start(
                journal.now(), task, run, id, labels));
        journal.log("runner " + id + " starts " + task + " run " + run + " fence " + fence);
        return new Http.Response(200, "{\"ClockMs\":" + clock() + "}");
    }

    private Http.Response stop(JsonObject order) {
        String task = order.text("Task").orElse("");
        int run = order.integer("Run").orElse(0L).intValue();
        Run present = running.get(task);
        if (present != null && present.run == run) {
            present.stopMs = Math.min(present.stopMs, clock() + STOP_MS);
        } else {
            closedRuns.merge(task, run, Math::max);
        }
        return new Http.Response(200, "{\"ClockMs\":" + clock() + "}");
    }

    private Http.Response hold(JsonObject order) throws InterruptedException {
        extend(order);
        long acknowledged = order.integer("AckSeq").orElse(0L);
        finished.keySet().removeIf(number -> number <= acknowledged);
        long incarnation = bornMs;
        long endMs = clock() + Math.min(2_000, order.integer("WaitMs").orElse(0L));
        while (up && bornMs == incarnation && finished.isEmpty() && clock() < endMs) {
            wait(Math.max(1, endMs - clock()));
        }
        if (!up || bornMs != incarnation) {
            return null;
        }
        StringBuilder rows = new StringBuilder();
        for (Run run : running.values()) {
            long percent = Math.min(PERCENT, PERCENT * (clock() - run.beginMs) / Math.max(1, run.endMs - run.beginMs));
            rows.append(rows.length() == 0 ? "" : ",").append("[\"" + run.task + "\"," + run.run + ",\"\"," + percent
                    + "," + run.cpu + "]");
        }
        StringBuilder ended = new StringBuilder();
        int count = 0;
        for (String end : finished.values()) {
            if (count++ < 500) {
                ended.append(ended.length() == 0 ? "" : ",").append(end);
            }
        }
        return new Http.Response(200, "{\"ClockMs\":" + clock() + ",\"born\":" + bornMs + ",\"Running\":[" + rows
                + "],\"Finished\":[" + ended + "]}");
    }
}
