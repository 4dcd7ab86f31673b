import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;

/**
 * Case of rule MIXED. A burst leaves jobs that wait; the store holds the progress rows that a leader leaves behind in
 * some hours of the sheet's traffic. With trouble, the leader is restarted gracefully. The rule is broken if another
 * coordinator gives as Pending under half of the jobs that were accepted over visible_ms + 2 s before and haven't begun.
 */
public final class Pending {

    private static final String SERVICE = "balcao-reparo";
    private static final String HOST = "desk.example";
    private static final int RUNNERS = 4;
    private static final int OLD_ROWS = (int) (Integer.getInteger("hours", 3) * 3_600 * 6.34);
    private static final double PLANS_PER_S = 3.37;
    private static final double BURST = 2.6;
    private static final long BURST_AT_MS = 12_000;
    private static final long BURST_MS = 4_000;
    private static final long STOP_AT_MS = BURST_AT_MS + BURST_MS + 1_500;
    private static final long TRAFFIC_MS = 40_000;
    private static final long GRACE_MS = 6_000;
    private static final long SETTLED_MS = 5_000;
    private static final long LOOK_MS = 100;

    /** The largest jobs of the class, by the site file: 5 steps of 32 tasks. */
    private static final int LARGE_STEPS = 5;

    private static final int LARGE_WIDTH = 32;

    private final Map<String, Long> acceptedAtMs = new ConcurrentHashMap<>();
    private final Map<String, Integer> doneTasks = new ConcurrentHashMap<>();
    private final Set<String> begun = ConcurrentHashMap.newKeySet();
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final ScheduledExecutorService timers = Executors.newScheduledThreadPool(4);
    private final Record record;
    private final Store store;
    private final Fleet fleet;
    private Fleet.Machine disrupted;
    private int looks;
    private int wrongLooks;
    private double wrongFromS;
    private double wrongToS;

    private Pending(String[] arguments) throws Exception {
        record = new Record(Path.of(arguments[2]));
        store = new Store("127.0.0.30", threads);
        fleet = new Fleet(Path.of(arguments[0]), Path.of(arguments[1]), store.address(), Ports.free(), record);
        Runtime.getRuntime().addShutdownHook(new Thread(fleet::stop));
    }

    public static void main(String[] arguments) throws Exception {
        Pending play = new Pending(arguments);
        int status = 2;
        try {
            status = play.run(arguments[3].equals("1"));
        } catch (Exception e) {
            play.record.verdict("could not run: " + e);
        } finally {
            play.fleet.stop();
            play.store.stop();
        }
        System.exit(status);
    }

    private final class Progress implements Runner.Observer {
        @Override
        public void started(Runner runner, String task, long run, long fence) {
            begun.add(task.substring(0, 16));
        }

        @Override
        public void ended(Runner runner, String task, long run, String how, boolean ordered) {
            if (how.equals("done")) {
                doneTasks.merge(task.substring(0, 16), 1, Integer::sum);
            }
        }
    }

    private static long nowMs() {
        return System.nanoTime() / 1_000_000;
    }

    private int run(boolean trouble) throws Exception {
        store.write("op", "config", Json.write(Json.of(
                "Version", 7,
                "Routes", List.of(Json.of("Name", "patch-plan", "Host", HOST, "PathPrefix", "/patch/", "Type",
                        "non_idempotent", "TimeoutMs", 3000, "TargetLatencyMs", 1000, "Priority", 2,
                        "Service", SERVICE, "Attempts", 4, "Stretch", 2.0)),
                "Services", List.of(Json.of("Name", SERVICE, "RejectsOverload", true)))));
        Progress progress = new Progress();
        for (int i = 1; i <= RUNNERS; i++) {
            new Runner("i-" + i, "127.0.0.31", store, SERVICE, "caxias", true, progress, threads, timers);
        }
        for (int i = 1; i <= 3; i++) {
            fleet.add("edge-caxias-" + i, "127.0.0.4" + i, "caxias", "serra").start();
        }
        if (!fleet.awaitReady(20_000)) {
            record.verdict("could not run: a coordinator is not ready");
            return 2;
        }
        Thread.sleep(3_000);
        String problem = play(trouble);
        if (problem != null) {
            record.verdict("could not run: " + problem);
            return 2;
        }
        if (wrongLooks > 0) {
            record.verdict(String.format(
                    "broken: %d of %d counts, from %.1f s to %.1f s, are under half of the jobs that wait", wrongLooks,
                    looks, wrongFromS, wrongToS));
            return 1;
        }
        record.verdict("held: " + looks + " counts while jobs waited");
        return looks == 0 ? 2 : 0;
    }

    /** Sends the jobs and asks for the counts; returns why the case could not be played, null if it was. */
    private String play(boolean trouble) throws Exception {
        long startMs = nowMs();
        double dueMs = 0;
        long lookDueMs = 0;
        int sent = 0;
        boolean rowsAdded = false;
        boolean stopped = !trouble;
        Fleet.Machine stopping = null;
        while (nowMs() - startMs < TRAFFIC_MS) {
            long atMs = nowMs() - startMs;
            boolean burst = atMs >= BURST_AT_MS && atMs < BURST_AT_MS + BURST_MS;
            if (atMs >= dueMs) {
                dueMs += 1_000 / (PLANS_PER_S * (burst ? BURST : 1));
                send(sent++, burst);
            }
            if (atMs >= lookDueMs) {
                lookDueMs += LOOK_MS;
                look();
            }
            if (!rowsAdded && atMs >= BURST_AT_MS - 2_000) {
                rowsAdded = true;
                if (!addOldRows()) {
                    return "no job was done before the burst";
                }
            }
            if (!stopped && atMs >= STOP_AT_MS) {
                stopped = true;
                stopping = fleet.leader(store);
                if (stopping == null) {
                    return "no leader";
                }
                disrupted = stopping;
                stopping.signal("TERM");
            }
            if (stopping != null && atMs >= STOP_AT_MS + GRACE_MS) {
                stopping.process().destroyForcibly();
            }
            if (stopping != null && !stopping.process().isAlive()) {
                stopping.start();
                stopping = null;
            }
            Thread.sleep(2);
        }
        return null;
    }

    /** Adds the rows of jobs that have ended and expired, in the form in which the leader has stored that of a job. */
    private boolean addOldRows() {
        for (String id : doneTasks.keySet()) {
            String value = store.read("progress", id);
            if (value != null && value.contains("DONE")) {
                List<String> keys = new ArrayList<>();
                for (int i = 0; i < OLD_ROWS; i++) {
                    keys.add(String.format("%016x", 0xd1342543de82ef95L * (i + 1)));
                }
                store.addOldRows("progress", keys, value);
                record.line(OLD_ROWS + " progress rows of jobs that have expired, each as that of " + id + ": " + value);
                return true;
            }
        }
        return false;
    }

    private void send(int number, boolean large) {
        String id = String.format("%016x", 0x9e3779b97f4a7c15L * (number + 1));
        Map<String, Object> spec = Json.of("cpu", 1_800, "mem", 3_200, "ms", 2_200);
        List<Object> steps = new ArrayList<>();
        for (int i = 0; i < (large ? LARGE_STEPS : 2); i++) {
            Map<String, Object> step = Json.of(
                    "Count", large ? LARGE_WIDTH : 8, "Cpu", 1_800, "MemMb", 3_200, "EstimateMs", 2_200);
            if (i > 0) {
                step.put("After", List.of(i - 1));
            }
            steps.add(step);
        }
        String front = fleet.machines.get(number % 3).front;
        threads.execute(() -> {
            int status = Http.call("POST", front, "/patch/" + id, HOST,
                            Json.write(Json.of("Spec", Json.write(spec), "Steps", steps)), 3_000)
                    .status();
            record.line("POST /patch/" + id + (large ? ", large" : "") + ": " + status);
            if (status == 200) {
                acceptedAtMs.put(id, nowMs());
            }
        });
    }

    /** Returns how many jobs were accepted over visible_ms + 2 s ago and haven't begun. */
    private long waiting(long atMs) {
        return acceptedAtMs.entrySet().stream()
                .filter(job -> job.getValue() < atMs - SETTLED_MS && !begun.contains(job.getKey()))
                .count();
    }

    /** Asks each coordinator that was not restarted for the number of waiting jobs. */
    private void look() {
        for (Fleet.Machine machine : fleet.machines) {
            if (machine == disrupted || machine == fleet.leader(store) && disrupted == null) {
                continue;
            }
            threads.execute(() -> {
                long waitingBefore = waiting(nowMs());
                Http.Answer answer = Http.call("GET", machine.front, "/patch/", HOST, "", 2_000);
                long waiting = Math.min(waitingBefore, waiting(nowMs()));
                if (answer.status() != 200 || waiting < 2) {
                    return;
                }
                long given = Json.number(Json.object(answer.body()), "Pending", 0);
                synchronized (this) {
                    looks++;
                    if (2 * given < waiting) {
                        wrongLooks++;
                        wrongToS = record.seconds();
                        wrongFromS = wrongLooks == 1 ? wrongToS : wrongFromS;
                    }
                }
                record.line(machine.name + " gives " + given + " as Pending, " + waiting + " jobs wait over 5 s");
            });
        }
    }
}
