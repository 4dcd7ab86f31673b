import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case of rule AVAIL. A step that lasts has four tasks and MayMiss 1, one task on each of four runners. A runner is
 * lost for good. When its task has been away for longer than NoticeMs, a short job comes that needs room. The rule is
 * broken if a task of the step at work on a sound runner is stopped then.
 */
public final class Avail {

    private static final long NOTICE_MS = 4_500;
    private static final long JOB_AFTER_CRASH_MS = 4_650;
    private static final String SERVICE = "balcao-reparo";
    private static final String HOST = "desk.example";
    private static final String LASTING_ID = "00000000000000a1";
    private static final String SHORT_ID = "00000000000000b1";

    private Avail() {}

    public static void main(String[] arguments) throws Exception {
        Path home = Path.of(arguments[0]);
        Path folder = Path.of(arguments[1]);
        Record record = new Record(Path.of(arguments[2]));
        boolean trouble = arguments[3].equals("1");
        ExecutorService threads = Executors.newCachedThreadPool();
        ScheduledExecutorService timers = Executors.newScheduledThreadPool(4);
        Store store = new Store("127.0.0.30", threads);
        Fleet fleet = new Fleet(home, folder, store.address(), Ports.free(), record);
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
        Map<String, Double> awaySince = new HashMap<>();
        AtomicInteger broken = new AtomicInteger();
        AtomicInteger stopped = new AtomicInteger();
        Runner.Observer observer = new Runner.Observer() {
            @Override
            public void started(Runner runner, String task, long run, long fence) {
                record.line("start " + task + " run " + run + " on " + runner.id + " fence " + fence);
            }

            @Override
            public void stopOrdered(Runner runner, String task, long run) {
                record.line("order to stop " + task + " run " + run + " on " + runner.id);
            }

            @Override
            public synchronized void ended(Runner runner, String task, long run, String how, boolean ordered) {
                record.line("end " + task + " run " + run + " on " + runner.id + ": " + how);
                if (!task.startsWith(LASTING_ID)) {
                    return;
                }
                if (ordered) {
                    stopped.incrementAndGet();
                    awaySince.forEach((other, since) -> {
                        double awayMs = (record.seconds() - since) * 1000;
                        if (!other.equals(task) && awayMs >= NOTICE_MS) {
                            broken.incrementAndGet();
                            record.line(String.format(
                                    "  AVAIL: %s was at work; %s has been away for %.0f ms; MayMiss is 1",
                                    task, other, awayMs));
                        }
                    });
                }
                awaySince.putIfAbsent(task, record.seconds());
            }
        };
        store.write("op", "config", Json.write(Json.of(
                "Version", 7,
                "Routes", List.of(
                        Json.of("Name", "mildew-watch", "Host", HOST, "PathPrefix", "/watch/", "Type",
                                "non_idempotent", "TimeoutMs", 3000, "TargetLatencyMs", 2500, "Priority", 0,
                                "Service", SERVICE, "Attempts", 2, "Stretch", 2.2),
                        Json.of("Name", "seam-check", "Host", HOST, "PathPrefix", "/check/", "Type",
                                "non_idempotent", "TimeoutMs", 3000, "TargetLatencyMs", 400, "Priority", 0,
                                "Service", SERVICE, "Attempts", 2, "Stretch", 1.5)),
                "Services", List.of(Json.of("Name", SERVICE, "RejectsOverload", true)))));
        List<Runner> runners = new ArrayList<>();
        for (int i = 1; i <= 4; i++) {
            runners.add(new Runner("i-" + i, "127.0.0.31", store, SERVICE, "caxias", true, observer, threads, timers));
        }
        for (int i = 1; i <= 3; i++) {
            fleet.add("edge-caxias-" + i, "127.0.0.4" + i, "caxias", "serra").start();
        }
        if (!fleet.awaitReady(20_000)) {
            record.verdict("could not run: a coordinator is not ready");
            return 2;
        }
        String front = fleet.machines.get(0).front;
        Map<String, Object> lastingStep = Json.of(
                "Count", 4, "Cpu", 12_000, "MemMb", 6_400, "EstimateMs", 500, "AntiAffinity", 1,
                "RestartAlways", true, "Image", "mildew", "TargetMs", 25, "MayMiss", 1);
        Http.Answer accepted = Http.call("POST", front, "/watch/" + LASTING_ID, HOST, Json.write(Json.of(
                "Spec", Json.write(Json.of("cpu", 12_000, "mem", 6_400, "ms", 0)), "Steps", List.of(lastingStep))),
                3_000);
        record.line("POST lasting job: " + accepted.status());
        long endMs = System.currentTimeMillis() + 15_000;
        while (System.currentTimeMillis() < endMs && atWork(runners) < 4) {
            Thread.sleep(50);
        }
        if (accepted.status() != 200 || atWork(runners) < 4) {
            record.verdict("could not run: the lasting job is not at work");
            return 2;
        }
        Thread.sleep(6_000);
        if (trouble) {
            // Right after a renewal, so that the leader's count of the lease ends latest.
            Runner lost = runners.get(0);
            while (lost.sinceHoldMs() > 100) {
                Thread.sleep(5);
            }
            lost.crash(timers);
            record.line("runner " + lost.id + " is lost for good");
        }
        Thread.sleep(JOB_AFTER_CRASH_MS);
        Map<String, Object> shortStep = Json.of("Count", 1, "Cpu", 6_000, "MemMb", 2_000, "EstimateMs", 1_000);
        Http.Answer posted = Http.call("POST", front, "/check/" + SHORT_ID, HOST, Json.write(Json.of(
                "Spec", Json.write(Json.of("cpu", 6_000, "mem", 2_000, "ms", 1_000)), "Steps", List.of(shortStep))),
                3_000);
        record.line("POST short job: " + posted.status());
        Thread.sleep(6_000);
        if (stopped.get() == 0) {
            record.verdict("held: no task of the step was stopped");
            return 0;
        }
        record.verdict(broken.get() > 0
                ? "broken: a task of the step was stopped beyond MayMiss"
                : "held: " + stopped.get() + " task stopped within MayMiss");
        return broken.get() > 0 ? 1 : 0;
    }

    private static long atWork(List<Runner> runners) {
        return runners.stream()
                .flatMap(runner -> runner.running().stream())
                .filter(run -> run.ms == 0 && run.percent() == 100)
                .count();
    }
}
