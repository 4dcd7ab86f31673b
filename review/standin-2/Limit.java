import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case of rule LIMIT. A runner that does not guard its capacity is full with the tasks of a job; another job waits. The
 * client cancels the first job and, with trouble, the leader is stopped gracefully while the tasks are being stopped.
 * The rule is broken if a start brings the runner over its capacity.
 */
public final class Limit {

    private static final String SERVICE = "balcao-reparo";
    private static final String HOST = "desk.example";
    private static final String FIRST_ID = "00000000000000a1";
    private static final String SECOND_ID = "00000000000000b2";
    private static final long TERM_AFTER_CANCEL_MS = 60;

    private Limit() {}

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
        AtomicInteger broken = new AtomicInteger();
        AtomicInteger secondStarts = new AtomicInteger();
        Runner.Observer observer = new Runner.Observer() {
            @Override
            public void started(Runner runner, String task, long run, long fence) {
                long cpu = runner.cpuInUse();
                boolean over = cpu > Runner.CPU;
                record.line("start " + task + " run " + run + " on " + runner.id + " fence " + fence + "; in use " + cpu
                        + " of " + Runner.CPU + (over ? "  LIMIT" : ""));
                if (over) {
                    broken.incrementAndGet();
                }
                if (task.startsWith(SECOND_ID)) {
                    secondStarts.incrementAndGet();
                }
            }

            @Override
            public void stopOrdered(Runner runner, String task, long run) {
                record.line("order to stop " + task + " run " + run + " on " + runner.id);
            }

            @Override
            public void ended(Runner runner, String task, long run, String how, boolean ordered) {
                record.line("end " + task + " run " + run + " on " + runner.id + ": " + how);
            }
        };
        store.write("op", "config", Json.write(Json.of(
                "Version", 7,
                "Routes", List.of(Json.of("Name", "patch-plan", "Host", HOST, "PathPrefix", "/plan/", "Type",
                        "non_idempotent", "TimeoutMs", 3000, "TargetLatencyMs", 1000, "Priority", 2,
                        "Service", SERVICE, "Attempts", 4, "Stretch", 2.0)),
                "Services", List.of(Json.of("Name", SERVICE, "RejectsOverload", false)))));
        Runner runner = new Runner("i-1", "127.0.0.31", store, SERVICE, "caxias", false, observer, threads, timers);
        for (int i = 1; i <= 3; i++) {
            fleet.add("edge-caxias-" + i, "127.0.0.4" + i, "caxias", "serra").start();
        }
        if (!fleet.awaitReady(20_000)) {
            record.verdict("could not run: a coordinator is not ready");
            return 2;
        }
        Thread.sleep(2_000);
        int first = post(fleet, record, FIRST_ID);
        long endMs = System.currentTimeMillis() + 10_000;
        while (System.currentTimeMillis() < endMs && runner.running().size() < 2) {
            Thread.sleep(20);
        }
        int second = post(fleet, record, SECOND_ID);
        Thread.sleep(3_000);
        Fleet.Machine leader = fleet.leader(store);
        if (first != 200 || second != 200 || runner.running().size() != 2 || leader == null) {
            record.verdict("could not run: the first job is not at work");
            return 2;
        }
        Fleet.Machine other = fleet.machines.stream().filter(machine -> machine != leader).findFirst().orElseThrow();
        Http.Answer cancelled = Http.call("DELETE", other.front, "/plan/" + FIRST_ID, HOST, "", 3_000);
        record.line("DELETE " + FIRST_ID + ": " + cancelled.status());
        Thread.sleep(TERM_AFTER_CANCEL_MS);
        if (trouble) {
            leader.signal("TERM");
        }
        Thread.sleep(5_000);
        if (cancelled.status() != 200 || secondStarts.get() == 0) {
            record.verdict("could not run: the job is not cancelled or the other one never started");
            return 2;
        }
        record.verdict(broken.get() > 0 ? "broken: a start brought the runner over its capacity" : "held");
        return broken.get() > 0 ? 1 : 0;
    }

    private static int post(Fleet fleet, Record record, String id) {
        Map<String, Object> step = Json.of("Count", 2, "Cpu", 8_000, "MemMb", 3_200, "EstimateMs", 20_000);
        Http.Answer answer = Http.call("POST", fleet.machines.get(0).front, "/plan/" + id, HOST, Json.write(Json.of(
                "Spec", Json.write(Json.of("cpu", 8_000, "mem", 3_200, "ms", 20_000)), "Steps", List.of(step))), 3_000);
        record.line("POST " + id + ": " + answer.status());
        return answer.status();
    }
}
