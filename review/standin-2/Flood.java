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
 * Case of rule LOST. Jobs of two queues come at a steady rate, each queue with a service of its own; with trouble, large
 * jobs come at once to the first queue. The rule is broken if finish_s after the end of the traffic an accepted job of
 * the second queue has nothing running for 3 s, although under half of the capacity of its service is in use.
 */
public final class Flood {

    private static final String LARGE_SERVICE = "pad-desk";
    private static final String SMALL_SERVICE = "match-desk";
    private static final String HOST = "desk.example";
    private static final int LARGE_RUNNERS = 12;
    private static final int SMALL_RUNNERS = 3;
    private static final long TRAFFIC_MS = 45_000;
    private static final long FINISH_MS = 14_000;
    private static final long IDLE_MS = 3_000;
    private static final double REPRICES_PER_S = 10.6;
    private static final double MATCHES_PER_S = 2;
    private static final double BURST = 2.5;
    private static final long BURST_MS = 6_000;
    private static final List<Long> BURSTS_AT_MS = List.of(6_000L, 14_000L);

    /** The largest jobs of the class, by the site file: 5 steps of 110 tasks. */
    private static final int LARGE_STEPS = 5;

    private static final int LARGE_WIDTH = 110;

    private Flood() {}

    /** What has become of the tasks. */
    private static final class Progress implements Runner.Observer {
        private final Map<String, Set<String>> doneByJob = new ConcurrentHashMap<>();
        private final Map<String, Integer> startsByJob = new ConcurrentHashMap<>();

        @Override
        public void started(Runner runner, String task, long run, long fence) {
            startsByJob.merge(task.substring(0, 16), 1, Integer::sum);
        }

        @Override
        public void ended(Runner runner, String task, long run, String how, boolean ordered) {
            if (how.equals("done")) {
                doneByJob.computeIfAbsent(task.substring(0, 16), id -> ConcurrentHashMap.newKeySet()).add(task);
            }
        }

        private boolean complete(Map.Entry<String, Accepted> job) {
            return doneByJob.getOrDefault(job.getKey(), Set.of()).size() == job.getValue().tasks();
        }
    }

    /** A job that was accepted. */
    private record Accepted(double atS, int tasks) {}

    public static void main(String[] arguments) throws Exception {
        Record record = new Record(Path.of(arguments[2]));
        boolean trouble = arguments[3].equals("1");
        ExecutorService threads = Executors.newCachedThreadPool();
        ScheduledExecutorService timers = Executors.newScheduledThreadPool(4);
        Store store = new Store("127.0.0.30", threads);
        Fleet fleet = new Fleet(Path.of(arguments[0]), Path.of(arguments[1]), store.address(), Ports.free(), record);
        Runtime.getRuntime().addShutdownHook(new Thread(fleet::stop));
        int status = 2;
        try {
            status = play(fleet, store, record, trouble, threads, timers);
        } catch (Exception e) {
            record.verdict("could not run: " + e);
        } finally {
            fleet.stop();
            store.stop();
            timers.shutdownNow();
            threads.shutdownNow();
        }
        System.exit(status);
    }

    private static int play(Fleet fleet, Store store, Record record, boolean trouble, ExecutorService threads,
            ScheduledExecutorService timers) throws Exception {
        Progress progress = new Progress();
        store.write("op", "config", Json.write(Json.of(
                "Version", 7,
                "Routes", List.of(
                        Json.of("Name", "reprice-run", "Host", HOST, "PathPrefix", "/reprice/", "Type",
                                "non_idempotent", "TimeoutMs", 3000, "TargetLatencyMs", 1000, "Priority", 2,
                                "Service", LARGE_SERVICE, "Attempts", 3, "Stretch", 2.0),
                        Json.of("Name", "fit-match", "Host", HOST, "PathPrefix", "/match/", "Type",
                                "non_idempotent", "TimeoutMs", 3000, "TargetLatencyMs", 400, "Priority", 0,
                                "Service", SMALL_SERVICE, "Attempts", 2, "Stretch", 1.5)),
                "Services", List.of(
                        Json.of("Name", LARGE_SERVICE, "RejectsOverload", true),
                        Json.of("Name", SMALL_SERVICE, "RejectsOverload", true)))));
        List<Runner> smallRunners = new ArrayList<>();
        for (int i = 1; i <= LARGE_RUNNERS; i++) {
            new Runner("i-" + i, "127.0.0.31", store, LARGE_SERVICE, "chima-a", true, progress, threads, timers);
        }
        for (int i = 1; i <= SMALL_RUNNERS; i++) {
            smallRunners.add(new Runner(
                    "m-" + i, "127.0.0.31", store, SMALL_SERVICE, "chima-a", true, progress, threads, timers));
        }
        for (int i = 1; i <= 3; i++) {
            fleet.add("edge-chima-a-" + i, "127.0.0.4" + i, "chima-a", "gt-central").start();
        }
        if (!fleet.awaitReady(20_000)) {
            record.verdict("could not run: a coordinator is not ready");
            return 2;
        }
        Thread.sleep(3_000);
        Map<String, Accepted> accepted = sendJobs(fleet, record, trouble, threads, progress);
        record.line("end of the traffic");
        Thread.sleep(FINISH_MS);
        return judge(fleet, store, smallRunners, record, progress, accepted);
    }

    private static Map<String, Object> step(int count, long cpu, long memMb, long ms) {
        return Json.of("Count", count, "Cpu", cpu, "MemMb", memMb, "EstimateMs", ms);
    }

    /** Returns a reprice-run of the mean size, or of the largest. */
    private static List<Object> repriceSteps(boolean large) {
        List<Object> steps = new ArrayList<>();
        for (int i = 0; i < (large ? LARGE_STEPS : 2); i++) {
            Map<String, Object> step = step(large ? LARGE_WIDTH : 27, 3_500, 6_400, 2_700);
            if (i > 0) {
                step.put("After", List.of(i - 1));
            }
            steps.add(step);
        }
        return steps;
    }

    private static Map<String, Accepted> sendJobs(Fleet fleet, Record record, boolean trouble, ExecutorService threads,
            Progress progress) throws InterruptedException {
        Map<String, Accepted> matches = new ConcurrentHashMap<>();
        Map<String, Accepted> reprices = new ConcurrentHashMap<>();
        long startMs = System.nanoTime() / 1_000_000;
        double repriceDueMs = 0;
        double matchDueMs = 0;
        long reportDueMs = 5_000;
        int sent = 0;
        long nowMs = 0;
        while (nowMs < TRAFFIC_MS) {
            long at = nowMs;
            boolean burst = trouble && BURSTS_AT_MS.stream().anyMatch(from -> at >= from && at < from + BURST_MS);
            if (nowMs >= repriceDueMs) {
                repriceDueMs += 1000 / (REPRICES_PER_S * (burst ? BURST : 1));
                send(fleet, threads, record, reprices, sent++, "/reprice/", burst ? LARGE_STEPS * LARGE_WIDTH : 54,
                        Json.of("cpu", 3_500, "mem", 6_400, "ms", 2_700), repriceSteps(burst));
            }
            if (nowMs >= matchDueMs) {
                matchDueMs += 1000 / MATCHES_PER_S;
                send(fleet, threads, record, matches, sent++, "/match/", 8,
                        Json.of("cpu", 1_000, "mem", 1_000, "ms", 640), List.of(step(8, 1_000, 1_000, 640)));
            }
            if (nowMs >= reportDueMs) {
                reportDueMs += 5_000;
                record.line("accepted: " + reprices.size() + " reprice-runs with "
                        + reprices.values().stream().mapToInt(Accepted::tasks).sum() + " tasks, " + matches.size()
                        + " fit-matches; fit-matches complete: "
                        + matches.entrySet().stream().filter(job -> progress.complete(job)).count());
            }
            Thread.sleep(2);
            nowMs = System.nanoTime() / 1_000_000 - startMs;
        }
        return matches;
    }

    private static void send(Fleet fleet, ExecutorService threads, Record record, Map<String, Accepted> accepted,
            int number, String prefix, int tasks, Map<String, Object> spec, List<Object> steps) {
        // Identities spread over all first digits, as those of clients do.
        String id = String.format("%016x", 0x9e3779b97f4a7c15L * (number + 1));
        String front = fleet.machines.get(number % 3).front;
        threads.execute(() -> {
            Http.Answer answer = Http.call("POST", front, prefix + id, HOST,
                    Json.write(Json.of("Spec", Json.write(spec), "Steps", steps)), 3_000);
            record.line("POST " + prefix + id + ", " + tasks + " tasks: " + answer.status());
            if (answer.status() == 200) {
                accepted.put(id, new Accepted(record.seconds(), tasks));
            }
        });
    }

    /** Looks for jobs that have nothing running for 3 s on end although there is capacity for them. */
    private static int judge(Fleet fleet, Store store, List<Runner> runners, Record record, Progress progress,
            Map<String, Accepted> accepted) throws InterruptedException {
        Map<String, Integer> idleLooks = new LinkedHashMap<>();
        int looks = 0;
        boolean roomy = true;
        long startMs = System.nanoTime() / 1_000_000;
        while (System.nanoTime() / 1_000_000 - startMs < IDLE_MS + 100) {
            looks++;
            Set<String> runningJobs = new HashSet<>();
            long cpu = 0;
            for (Runner runner : runners) {
                runner.running().forEach(run -> runningJobs.add(run.task.substring(0, 16)));
                cpu += runner.cpuInUse();
            }
            roomy &= 2 * cpu < (long) Runner.CPU * SMALL_RUNNERS;
            for (Map.Entry<String, Accepted> job : accepted.entrySet()) {
                if (!runningJobs.contains(job.getKey()) && !progress.complete(job)) {
                    idleLooks.merge(job.getKey(), 1, Integer::sum);
                }
            }
            if (looks % 20 == 1) {
                record.line("in use: " + cpu + " of " + Runner.CPU * SMALL_RUNNERS + " thousandths of cores of " + SMALL_SERVICE);
            }
            Thread.sleep(50);
        }
        int lost = 0;
        int neverStarted = 0;
        for (Map.Entry<String, Integer> idle : idleLooks.entrySet()) {
            if (idle.getValue() == looks) {
                lost++;
                String id = idle.getKey();
                neverStarted += progress.startsByJob.containsKey(id) ? 0 : 1;
                if (lost <= 20) {
                    record.line(String.format("LOST: %s, accepted at %.3f s, %d of %d tasks done", id,
                            accepted.get(id).atS(), progress.doneByJob.getOrDefault(id, Set.of()).size(),
                            accepted.get(id).tasks()));
                }
                if (lost <= 3) {
                    record.line("GET: " + Http.call("GET", fleet.machines.get(0).front, "/match/" + id, HOST, "", 2_000)
                            .body());
                }
            }
        }
        String row = store.read("leader", "lease");
        record.line("leader row: " + row.substring(0, Math.min(300, row.length())));
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
