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
 * Trial without a disruption: jobs come at a steady rate for several minutes. Reports every ten seconds how many jobs
 * are accepted, done and stored. Properties: rate (jobs a second), seconds, large (tasks of every second job, in two
 * steps), small (tasks of the others), ms (duration of a task).
 */
public final class Steady {

    private static final String HOST = "desk.example";
    private static final String SERVICE = "pad-desk";
    private static final int RUNNERS = 8;
    private static final double RATE = Double.parseDouble(System.getProperty("rate", "23"));
    private static final long TRAFFIC_MS = 1_000L * Integer.getInteger("seconds", 300);
    private static final int LARGE_TASKS = Integer.getInteger("large", 40);
    private static final int SMALL_TASKS = Integer.getInteger("small", 15);
    private static final long TASK_MS = Long.getLong("ms", 300);
    private static final long TASK_CPU = 200;
    private static final long REPORT_MS = 10_000;
    private static final long FINISH_MS = 14_000;

    private final Map<String, Integer> openTasks = new ConcurrentHashMap<>();
    private final Map<String, Set<String>> doneByJob = new ConcurrentHashMap<>();
    private final Map<String, Long> acceptedAtMs = new ConcurrentHashMap<>();
    private final Map<Integer, Integer> answers = new ConcurrentHashMap<>();
    private final Fleet fleet;
    private final Store store;
    private final Record record;
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private int complete;

    private Steady(String[] arguments) throws Exception {
        record = new Record(Path.of(arguments[2]));
        store = new Store("127.0.0.30", threads);
        fleet = new Fleet(Path.of(arguments[0]), Path.of(arguments[1]), store.address(), Ports.free(), record);
        Runtime.getRuntime().addShutdownHook(new Thread(fleet::stop));
    }

    public static void main(String[] arguments) throws Exception {
        Steady trial = new Steady(arguments);
        try {
            trial.play();
        } finally {
            trial.fleet.stop();
        }
        System.exit(0);
    }

    private final class Progress implements Runner.Observer {
        @Override
        public void started(Runner runner, String task, long run, long fence) {}

        @Override
        public void ended(Runner runner, String task, long run, String how, boolean ordered) {
            if (how.equals("done")) {
                String id = task.substring(0, 16);
                Set<String> done = doneByJob.computeIfAbsent(id, job -> ConcurrentHashMap.newKeySet());
                done.add(task);
                if (done.size() == openTasks.getOrDefault(id, -1)) {
                    openTasks.remove(id);
                    doneByJob.remove(id);
                    acceptedAtMs.remove(id);
                    synchronized (Steady.this) {
                        complete++;
                    }
                }
            }
        }
    }

    private void play() throws Exception {
        ScheduledExecutorService timers = Executors.newScheduledThreadPool(4);
        store.write("op", "config", Json.write(Json.of(
                "Version", 7,
                "Routes", List.of(Json.of("Name", "reprice-run", "Host", HOST, "PathPrefix", "/reprice/", "Type",
                        "non_idempotent", "TimeoutMs", 3000, "TargetLatencyMs", 1000, "Priority", 2,
                        "Service", SERVICE, "Attempts", 3, "Stretch", 2.0)),
                "Services", List.of(Json.of("Name", SERVICE, "RejectsOverload", true)))));
        Progress progress = new Progress();
        for (int i = 1; i <= RUNNERS; i++) {
            new Runner("i-" + i, "127.0.0.31", store, SERVICE, "chima-a", true, progress, threads, timers);
        }
        for (int i = 1; i <= 3; i++) {
            fleet.add("edge-chima-a-" + i, "127.0.0.4" + i, "chima-a", "gt-central").start();
        }
        if (!fleet.awaitReady(20_000)) {
            record.verdict("could not run: a coordinator is not ready");
            return;
        }
        Thread.sleep(3_000);
        long startMs = nowMs();
        double dueMs = 0;
        long reportDueMs = REPORT_MS;
        int sent = 0;
        while (nowMs() - startMs < TRAFFIC_MS) {
            if (nowMs() - startMs >= dueMs) {
                dueMs += 1000 / RATE;
                send(sent++);
            }
            if (nowMs() - startMs >= reportDueMs) {
                reportDueMs += REPORT_MS;
                report(sent);
            }
            Thread.sleep(2);
        }
        record.line("end of the traffic");
        Thread.sleep(FINISH_MS);
        report(sent);
        timers.shutdownNow();
    }

    private static long nowMs() {
        return System.nanoTime() / 1_000_000;
    }

    private void send(int number) {
        String id = String.format("%016x", 0x9e3779b97f4a7c15L * (number + 1));
        boolean large = number % 2 == 0;
        int tasks = large ? LARGE_TASKS : SMALL_TASKS;
        List<Object> steps = new ArrayList<>();
        if (large) {
            steps.add(step(tasks / 2));
            Map<String, Object> second = step(tasks - tasks / 2);
            second.put("After", List.of(0));
            steps.add(second);
        } else {
            steps.add(step(tasks));
        }
        Map<String, Object> spec = Json.of("cpu", TASK_CPU, "mem", 10, "ms", TASK_MS);
        String body = Json.write(Json.of("Spec", Json.write(spec), "Steps", steps));
        openTasks.put(id, tasks);
        String front = fleet.machines.get(number % 3).front;
        threads.execute(() -> {
            int status = Http.call("POST", front, "/reprice/" + id, HOST, body, 3_000).status();
            answers.merge(status, 1, Integer::sum);
            if (status == 200 && openTasks.containsKey(id)) {
                acceptedAtMs.put(id, nowMs());
            }
            if (status != 200) {
                record.line("POST " + id + ": " + status);
            }
        });
    }

    private static Map<String, Object> step(int count) {
        return Json.of("Count", count, "Cpu", TASK_CPU, "MemMb", 10, "EstimateMs", TASK_MS);
    }

    private void report(int sent) {
        long oldestMs = 0;
        for (Map.Entry<String, Long> open : acceptedAtMs.entrySet()) {
            if (openTasks.containsKey(open.getKey())) {
                oldestMs = Math.max(oldestMs, nowMs() - open.getValue());
            }
        }
        Fleet.Machine leader = fleet.leader(store);
        String row = store.read("leader", "lease");
        synchronized (this) {
            record.line("sent " + sent + ", answers " + answers + ", complete " + complete + ", oldest open "
                    + oldestMs + " ms, intake rows " + store.count("intake") + ", progress rows "
                    + store.count("progress") + ", leader " + (leader == null ? "none" : leader.name) + " fence "
                    + Json.number(Json.object(row), "fence", 0) + " rss kB " + rss(leader));
        }
    }

    private static String rss(Fleet.Machine machine) {
        try {
            return java.nio.file.Files.readAllLines(Path.of("/proc/" + machine.process().pid() + "/status")).stream()
                    .filter(line -> line.startsWith("VmRSS"))
                    .findFirst().orElse("").replaceAll("[^0-9]", "");
        } catch (Exception e) {
            return "unknown";
        }
    }
}
