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
 * Case of rule LOST. Four runners carry one task each that serves. Jobs of tasks that fill come at a steady rate, and in
 * bursts with trouble. The rule is broken if finish_s after the end of the traffic an accepted job has nothing running
 * for 3 s while a task's turn has come, there is capacity for it twice over and under half of the capacity is in use.
 */
public final class Starve {

    private static final String SERVICE = "balcao-reparo";
    private static final String HOST = "desk.example";
    private static final long TRAFFIC_MS = 50_000;
    private static final long FINISH_MS = 14_000;
    private static final long IDLE_MS = 3_000;
    private static final long JOB_INTERVAL_MS = 2_500;
    private static final double BURST = 2.6;
    private static final long BURST_MS = 6_000;
    /** Starts of the bursts. */
    private static final List<Long> BURSTS_AT_MS = List.of(14_000L, 20_000L, 26_000L, 32_000L, 38_000L, 44_000L);
    private static final int TASKS = 8;
    private static final long TASK_CPU = 1_800;
    private static final long TASK_MB = 3_200;
    private static final long TASK_MS = 2_200;

    private Starve() {}

    /** What has become of the tasks of the jobs that fill. */
    private static final class Progress implements Runner.Observer {
        private final Record record;
        private final Map<String, Set<String>> doneByJob = new ConcurrentHashMap<>();

        private Progress(Record record) {
            this.record = record;
        }

        @Override
        public void started(Runner runner, String task, long run, long fence) {
            record.line("start " + task + " run " + run + " on " + runner.id + " fence " + fence);
        }

        @Override
        public void ended(Runner runner, String task, long run, String how, boolean ordered) {
            record.line("end " + task + " run " + run + " on " + runner.id + ": " + how);
            if (how.equals("done")) {
                doneByJob.computeIfAbsent(task.substring(0, 16), id -> ConcurrentHashMap.newKeySet()).add(task);
            }
        }

        private boolean complete(String job) {
            return doneByJob.getOrDefault(job, Set.of()).size() == TASKS;
        }
    }

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
        Progress progress = new Progress(record);
        store.write("op", "config", Json.write(Json.of(
                "Version", 7,
                "Routes", List.of(
                        Json.of("Name", "mildew-watch", "Host", HOST, "PathPrefix", "/watch/", "Type",
                                "non_idempotent", "TimeoutMs", 3000, "TargetLatencyMs", 2500, "Priority", 0,
                                "Service", SERVICE, "Attempts", 2, "Stretch", 2.2),
                        Json.of("Name", "patch-plan", "Host", HOST, "PathPrefix", "/plan/", "Type",
                                "non_idempotent", "TimeoutMs", 3000, "TargetLatencyMs", 1000, "Priority", 2,
                                "Service", SERVICE, "Attempts", 4, "Stretch", 2.0)),
                "Services", List.of(Json.of("Name", SERVICE, "RejectsOverload", true)))));
        List<Runner> runners = new ArrayList<>();
        for (int i = 1; i <= 4; i++) {
            runners.add(new Runner("i-" + i, "127.0.0.31", store, SERVICE, "caxias", true, progress, threads, timers));
        }
        for (int i = 1; i <= 3; i++) {
            fleet.add("edge-caxias-" + i, "127.0.0.4" + i, "caxias", "serra").start();
        }
        if (!fleet.awaitReady(20_000)) {
            record.verdict("could not run: a coordinator is not ready");
            return 2;
        }
        Map<String, Object> serving = Json.of(
                "Count", 4, "Cpu", 2_000, "MemMb", 6_400, "EstimateMs", 500, "AntiAffinity", 1,
                "RestartAlways", true, "Image", "mildew", "TargetMs", 25);
        Http.Answer accepted = Http.call("POST", fleet.machines.get(0).front, "/watch/00000000000000a1", HOST,
                Json.write(Json.of("Spec", Json.write(Json.of("cpu", 2_000, "mem", 6_400, "ms", 0, "target", 25)),
                        "Steps", List.of(serving))), 3_000);
        record.line("POST serving job: " + accepted.status());
        Thread.sleep(4_000);
        Map<String, Double> acceptedJobs = sendJobs(fleet, record, trouble, timers);
        record.line("end of the traffic: " + acceptedJobs.size() + " jobs accepted");
        Thread.sleep(FINISH_MS);
        return judge(fleet, runners, record, progress, acceptedJobs);
    }

    private static Map<String, Double> sendJobs(Fleet fleet, Record record, boolean trouble,
            ScheduledExecutorService timers) throws InterruptedException {
        Map<String, Double> accepted = new ConcurrentHashMap<>();
        long startMs = System.nanoTime() / 1_000_000;
        int sent = 0;
        long nowMs = 0;
        while (nowMs < TRAFFIC_MS) {
            String id = String.format("%016x", 0xc000 + sent);
            String front = fleet.machines.get(sent++ % 3).front;
            timers.execute(() -> {
                Map<String, Object> step = Json.of("Count", TASKS, "Cpu", TASK_CPU, "MemMb", TASK_MB, "EstimateMs",
                        TASK_MS, "Fills", true, "Image", "patch");
                Http.Answer answer = Http.call("POST", front, "/plan/" + id, HOST, Json.write(Json.of(
                        "Spec", Json.write(Json.of("cpu", TASK_CPU, "mem", TASK_MB, "ms", TASK_MS, "fills", true)),
                        "Steps", List.of(step))), 3_000);
                record.line("POST " + id + ": " + answer.status());
                if (answer.status() == 200) {
                    accepted.put(id, record.seconds());
                }
            });
            long at = nowMs;
            boolean burst = trouble && BURSTS_AT_MS.stream().anyMatch(from -> at >= from && at < from + BURST_MS);
            Thread.sleep((long) (JOB_INTERVAL_MS / (burst ? BURST : 1)));
            nowMs = System.nanoTime() / 1_000_000 - startMs;
        }
        return accepted;
    }

    /** Looks for jobs that have nothing running for 3 s on end although there is capacity for them. */
    private static int judge(Fleet fleet, List<Runner> runners, Record record, Progress progress,
            Map<String, Double> accepted) throws InterruptedException {
        Map<String, Integer> idleLooks = new LinkedHashMap<>();
        int looks = 0;
        boolean roomy = true;
        long overTarget = 0;
        long startMs = System.nanoTime() / 1_000_000;
        while (System.nanoTime() / 1_000_000 - startMs < IDLE_MS + 100) {
            looks++;
            Set<String> runningJobs = new HashSet<>();
            long cpu = 0;
            long memory = 0;
            long places = 0;
            for (Runner runner : runners) {
                runner.running().forEach(run -> runningJobs.add(run.task.substring(0, 16)));
                // Tasks that fill are counted like the others here, which makes the condition harder to meet.
                long cpuInUse = runner.running().stream().mapToLong(run -> run.cpu).sum();
                cpu += cpuInUse;
                memory += runner.memoryInUse();
                places += Math.min(
                        (Runner.CPU - cpuInUse) / TASK_CPU, (Runner.MEMORY_MB - runner.memoryInUse()) / TASK_MB);
                overTarget += runner.overTarget() ? 1 : 0;
            }
            roomy &= 2 * cpu < (long) Runner.CPU * runners.size()
                    && 2 * memory < (long) Runner.MEMORY_MB * runners.size()
                    && places >= 2;
            for (String id : accepted.keySet()) {
                if (!runningJobs.contains(id) && !progress.complete(id)) {
                    idleLooks.merge(id, 1, Integer::sum);
                }
            }
            if (looks % 50 == 1) {
                record.line("in use: " + cpu + " of " + Runner.CPU * runners.size() + " thousandths of cores, " + memory
                        + " of " + Runner.MEMORY_MB * runners.size() + " MB; room for " + places + " tasks more");
            }
            Thread.sleep(20);
        }
        int lost = 0;
        for (Map.Entry<String, Integer> idle : idleLooks.entrySet()) {
            if (idle.getValue() == looks) {
                lost++;
                String id = idle.getKey();
                record.line(String.format("LOST: %s, accepted at %.3f s, has nothing running; GET: %s", id,
                        accepted.get(id), Http.call("GET", fleet.machines.get(0).front, "/plan/" + id, HOST, "",
                                3_000).body()));
            }
        }
        record.line("looks at which a serving task was over its target: " + overTarget);
        if (lost > 0 && roomy) {
            record.verdict("broken: " + lost + " accepted jobs have nothing running for 3 s, with room for them");
            return 1;
        }
        record.verdict("held: " + lost + " jobs without a run, room " + roomy);
        return 0;
    }
}
