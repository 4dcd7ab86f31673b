import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;

/**
 * Case of rule LOST. Jobs come at the sheet's rate. The store holds the progress rows of ended jobs that a leader leaves
 * behind in some hours of such traffic; with trouble, the leader is restarted gracefully. The rule is broken if finish_s after the end
 * of the traffic an accepted job has nothing running for 3 s, although under half of the capacity is in use.
 */
public final class Takeover {

    private static final String SERVICE = "balcao-reparo";
    private static final String HOST = "desk.example";
    private static final int RUNNERS = 4;
    private static final double JOBS_PER_S = 6.34;
    private static final int OLD_ROWS = (int) (Integer.getInteger("hours", 6) * 3_600 * JOBS_PER_S);
    private static final long TRAFFIC_MS = 50_000;
    private static final long STOP_AT_MS = 15_000;
    private static final long GRACE_MS = 6_000;
    private static final long FINISH_MS = 14_000;
    private static final long IDLE_MS = 3_000;

    private final Map<String, Integer> tasksByJob = new ConcurrentHashMap<>();
    private final Map<String, Double> acceptedAtS = new ConcurrentHashMap<>();
    private final Map<String, Set<String>> doneByJob = new ConcurrentHashMap<>();
    private final Set<String> started = ConcurrentHashMap.newKeySet();
    private final List<Runner> runners = new ArrayList<>();
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final ScheduledExecutorService timers = Executors.newScheduledThreadPool(4);
    private final Record record;
    private final Store store;
    private final Fleet fleet;

    private Takeover(String[] arguments) throws Exception {
        record = new Record(Path.of(arguments[2]));
        store = new Store("127.0.0.30", threads);
        fleet = new Fleet(Path.of(arguments[0]), Path.of(arguments[1]), store.address(), Ports.free(), record);
        Runtime.getRuntime().addShutdownHook(new Thread(fleet::stop));
    }

    public static void main(String[] arguments) throws Exception {
        Takeover play = new Takeover(arguments);
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
            started.add(task.substring(0, 16));
        }

        @Override
        public void ended(Runner runner, String task, long run, String how, boolean ordered) {
            if (how.equals("done")) {
                doneByJob.computeIfAbsent(task.substring(0, 16), id -> ConcurrentHashMap.newKeySet()).add(task);
            }
        }
    }

    private boolean complete(String id) {
        return doneByJob.getOrDefault(id, Set.of()).size() == tasksByJob.get(id);
    }

    private int run(boolean trouble) throws Exception {
        store.write("op", "config", Json.write(Json.of(
                "Version", 7,
                "Routes", List.of(
                        Json.of("Name", "seam-check", "Host", HOST, "PathPrefix", "/seam/", "Type",
                                "non_idempotent", "TimeoutMs", 3000, "TargetLatencyMs", 400, "Priority", 0,
                                "Service", SERVICE, "Attempts", 2, "Stretch", 1.5),
                        Json.of("Name", "patch-plan", "Host", HOST, "PathPrefix", "/patch/", "Type",
                                "non_idempotent", "TimeoutMs", 3000, "TargetLatencyMs", 1000, "Priority", 2,
                                "Service", SERVICE, "Attempts", 4, "Stretch", 2.0)),
                "Services", List.of(Json.of("Name", SERVICE, "RejectsOverload", true)))));
        Progress progress = new Progress();
        for (int i = 1; i <= RUNNERS; i++) {
            runners.add(new Runner("i-" + i, "127.0.0.31", store, SERVICE, "caxias", true, progress, threads, timers));
        }
        for (int i = 1; i <= 3; i++) {
            fleet.add("edge-caxias-" + i, "127.0.0.4" + i, "caxias", "serra").start();
        }
        if (!fleet.awaitReady(20_000)) {
            record.verdict("could not run: a coordinator is not ready");
            return 2;
        }
        Thread.sleep(3_000);
        String first = sendJobs(trouble);
        if (first != null) {
            record.verdict("could not run: " + first);
            return 2;
        }
        record.line("end of the traffic, " + acceptedAtS.size() + " jobs accepted");
        Thread.sleep(FINISH_MS);
        return judge();
    }

    /** Sends the jobs; returns why the case could not be played, null if it was. */
    private String sendJobs(boolean trouble) throws Exception {
        long startMs = nowMs();
        double dueMs = 0;
        int sent = 0;
        boolean rowsAdded = false;
        boolean stopped = !trouble;
        Fleet.Machine stopping = null;
        long reportDueMs = 5_000;
        while (nowMs() - startMs < TRAFFIC_MS) {
            long atMs = nowMs() - startMs;
            if (atMs >= dueMs) {
                dueMs += 1_000 / JOBS_PER_S;
                send(sent++);
            }
            if (!rowsAdded && atMs >= STOP_AT_MS - 5_000) {
                rowsAdded = true;
                if (!addOldRows()) {
                    return "no job was done before the stop";
                }
            }
            if (!stopped && atMs >= STOP_AT_MS) {
                stopped = true;
                stopping = fleet.leader(store);
                if (stopping == null) {
                    return "no leader";
                }
                stopping.signal("TERM");
            }
            if (stopping != null && atMs >= STOP_AT_MS + GRACE_MS) {
                stopping.process().destroyForcibly();
            }
            if (stopping != null && !stopping.process().isAlive()) {
                stopping.start();
                stopping = null;
            }
            if (atMs >= reportDueMs) {
                reportDueMs += 5_000;
                record.line("accepted " + acceptedAtS.size() + ", complete "
                        + acceptedAtS.keySet().stream().filter(this::complete).count() + ", progress rows "
                        + store.count("progress") + ", leader row " + leaderRow());
            }
            Thread.sleep(2);
        }
        return null;
    }

    private String leaderRow() {
        String row = store.read("leader", "lease");
        return row.substring(0, Math.min(160, row.length()));
    }

    /** Adds the rows of jobs that have ended and expired, in the form in which the leader has stored that of a job. */
    private boolean addOldRows() {
        for (String id : acceptedAtS.keySet()) {
            String value = store.read("progress", id);
            if (complete(id) && value != null && value.contains("DONE")) {
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

    private static long nowMs() {
        return System.nanoTime() / 1_000_000;
    }

    private static Map<String, Object> step(int count, long cpu, long memMb, long ms) {
        return Json.of("Count", count, "Cpu", cpu, "MemMb", memMb, "EstimateMs", ms);
    }

    /** Sends a job of the mean size of its class, by turns of both classes. */
    private void send(int number) {
        String id = String.format("%016x", 0x9e3779b97f4a7c15L * (number + 1));
        boolean plan = number % 2 == 0;
        Map<String, Object> spec = plan
                ? Json.of("cpu", 1_800, "mem", 3_200, "ms", 2_200)
                : Json.of("cpu", 1_100, "mem", 2_200, "ms", 1_000);
        List<Object> steps = new ArrayList<>();
        steps.add(plan ? step(8, 1_800, 3_200, 2_200) : step(6, 1_100, 2_200, 1_000));
        if (plan) {
            Map<String, Object> second = step(8, 1_800, 3_200, 2_200);
            second.put("After", List.of(0));
            steps.add(second);
        }
        tasksByJob.put(id, plan ? 16 : 6);
        String path = (plan ? "/patch/" : "/seam/") + id;
        String front = frontOf(number);
        threads.execute(() -> {
            // The balancer sends a retry to another daemon.
            for (int attempt = 0; attempt < 3; attempt++) {
                int status = Http.call("POST", attempt == 0 ? front : frontOf(number + attempt), path, HOST,
                                Json.write(Json.of("Spec", Json.write(spec), "Steps", steps)), 3_000)
                        .status();
                if (status == 200) {
                    acceptedAtS.put(id, record.seconds());
                    return;
                }
                record.line("POST " + path + ": " + status);
            }
        });
    }

    private String frontOf(int number) {
        return fleet.machines.get(number % 3).front;
    }

    /** Looks for jobs that have nothing running for 3 s on end although there is capacity for them. */
    private int judge() throws InterruptedException {
        Map<String, Integer> idleLooks = new LinkedHashMap<>();
        int looks = 0;
        boolean roomy = true;
        long mostCpu = 0;
        long startMs = nowMs();
        while (nowMs() - startMs < IDLE_MS + 100) {
            looks++;
            Set<String> runningJobs = new HashSet<>();
            long cpu = 0;
            for (Runner runner : runners) {
                runner.running().forEach(run -> runningJobs.add(run.task.substring(0, 16)));
                cpu += runner.cpuInUse();
            }
            mostCpu = Math.max(mostCpu, cpu);
            roomy &= 2 * cpu < (long) Runner.CPU * RUNNERS;
            for (String id : acceptedAtS.keySet()) {
                if (!runningJobs.contains(id) && !complete(id)) {
                    idleLooks.merge(id, 1, Integer::sum);
                }
            }
            Thread.sleep(50);
        }
        record.line("at most " + mostCpu + " of " + Runner.CPU * RUNNERS + " thousandths of cores in use");
        int lost = 0;
        int neverStarted = 0;
        for (Map.Entry<String, Integer> idle : idleLooks.entrySet()) {
            if (idle.getValue() == looks) {
                lost++;
                String id = idle.getKey();
                neverStarted += started.contains(id) ? 0 : 1;
                if (lost <= 20) {
                    record.line(String.format("LOST: %s, accepted at %.3f s, %d of %d tasks done", id,
                            acceptedAtS.get(id), doneByJob.getOrDefault(id, Set.of()).size(), tasksByJob.get(id)));
                }
                if (lost <= 3) {
                    String path = (tasksByJob.get(id) == 16 ? "/patch/" : "/seam/") + id;
                    record.line("GET: " + Http.call("GET", frontOf(0), path, HOST, "", 2_000).body());
                }
            }
        }
        record.line("leader row: " + leaderRow());
        for (Fleet.Machine machine : fleet.machines) {
            record.line(machine.name + ": alive " + machine.process().isAlive() + ", ready " + machine.isReady());
        }
        if (lost > 0 && roomy) {
            record.verdict("broken: " + lost + " accepted jobs have nothing running for 3 s, with room for them; "
                    + neverStarted + " of them have never started");
            return 1;
        }
        record.verdict("held: " + lost + " jobs without a run, room " + roomy);
        return 0;
    }
}
