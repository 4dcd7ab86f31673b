import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** A small deployment: store, runners and machines on loopback addresses of its own, and a configuration. */
final class Setting implements AutoCloseable {

    static final String HOST = "nony24.example";
    static final String SERVICE = "huvo11a";
    static final String URGENT = "/lohu930/";
    static final String BATCH = "/pufi791/";

    final Record record;
    final Store store;
    final System3 system;
    final Client client;
    final List<Runner> runners = new ArrayList<>();
    final boolean trouble;
    /** The advice service; no queue here has advice, so it is never asked. */
    private final HttpServer advice;
    private final String network;
    private String lastLeader = "";
    private final Path folder;

    Setting(Path root, Path caseFolder) throws IOException {
        System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host");
        System.setProperty("sun.net.httpserver.nodelay", "true");
        trouble = !"0".equals(System.getenv("TROUBLE"));
        record = new Record(caseFolder.resolve("record.txt"));
        Random random = new Random();
        network = "127." + (16 + random.nextInt(200)) + "." + random.nextInt(250) + ".";
        folder = Files.createTempDirectory("review-3-");
        store = new Store(network + "1");
        advice = Http.serve(network + "3", 0, (method, path, query, body, exchange) ->
                new Http.Answer(200, Json.write(Map.of("Good", List.of(), "ValidMs", 3_000L))));
        String adviceAddress = network + "3:" + advice.getAddress().getPort();
        system = new System3(root, folder, store.address(), adviceAddress, record);
        client = new Client(record);
        record.say("network " + network + "0, logs in " + folder + ", trouble " + trouble);
    }

    /** Adds runners of 16 cores, four in a rack. */
    void addRunners(int count, boolean rejectsOverload, long stopMs, Runner.Job job, Runner.Observer observer) {
        for (int i = 0; i < count; i++) {
            runners.add(new Runner(
                    "i-" + i,
                    network + "2",
                    SERVICE,
                    16_000,
                    62_500,
                    rejectsOverload,
                    stopMs,
                    List.of("a", "r1-" + i / 4),
                    store,
                    job,
                    observer,
                    record));
        }
    }

    /** Records each change of the leader row to another leader. */
    void watchLeader() {
        String row = store.get("leader", "", "lease");
        if (row.isEmpty()) {
            return;
        }
        Map<String, Object> lease = Json.object(row);
        String leader = lease.get("leader") + " with fencing token " + lease.get("fence");
        if (!leader.equals(lastLeader)) {
            lastLeader = leader;
            record.log("leader: " + leader);
        }
    }

    void addMachines(int count) throws IOException {
        for (int i = 1; i <= count; i++) {
            system.add("edge-caxias-" + i, network + (10 + i));
        }
    }

    List<String> fronts() {
        List<String> fronts = new ArrayList<>();
        system.machines.forEach(machine -> fronts.add(machine.front()));
        return fronts;
    }

    void configure(boolean rejectsOverload) {
        Map<String, Object> service = new LinkedHashMap<>();
        service.put("Name", SERVICE);
        service.put("HealthCheck", "/health");
        service.put("MaxConnections", 64L);
        service.put("Protocol", "h1");
        service.put("Tls", false);
        service.put("RejectsOverload", rejectsOverload);
        service.put("Standby", false);
        List<Object> routes = List.of(
                route("r-3hwrr6x", URGENT, 0, 2, 1.5, 400), route("r-73d3zji", BATCH, 2, 4, 2.0, 1_000));
        Map<String, Object> limits = Map.of(
                "MaxHeaderBytes", 16_384L, "MaxBodyBytes", 262_144L, "HeaderTimeoutMs", 3_000L, "IdleTimeoutMs", 15_000L);
        store.put(
                "op",
                "config",
                Json.write(Map.of("Version", 7L, "Routes", routes, "Services", List.of(service), "Limits", limits)));
    }

    private static Map<String, Object> route(
            String name,
            String prefix,
            long priority,
            long attempts,
            double stretch,
            long latencyMs) {
        Map<String, Object> route = new LinkedHashMap<>();
        route.put("Name", name);
        route.put("Host", HOST);
        route.put("PathPrefix", prefix);
        route.put("Type", "non_idempotent");
        route.put("TimeoutMs", 3_000L);
        route.put("TargetLatencyMs", latencyMs);
        route.put("Priority", priority);
        route.put("Service", SERVICE);
        route.put("Attempts", attempts);
        route.put("Stretch", stretch);
        return route;
    }

    /** Starts the machines and waits until one of them leads; without one the case cannot run. */
    void begin() throws IOException, InterruptedException {
        for (Runner runner : runners) {
            runner.start();
        }
        for (System3.Machine machine : system.machines) {
            machine.start();
        }
        system.watch();
        for (int i = 0; i < 200 && system.leader(store).isEmpty(); i++) {
            Thread.sleep(100);
        }
        Thread.sleep(4_000);
        if (system.leader(store).isEmpty()) {
            throw new IllegalStateException("no coordinator leads");
        }
    }

    @Override
    public void close() {
        system.close();
    }

    static Map<String, Object> step(long count, long cpu, long memMb, long estimateMs) {
        Map<String, Object> step = new LinkedHashMap<>();
        step.put("Count", count);
        step.put("Cpu", cpu);
        step.put("MemMb", memMb);
        step.put("EstimateMs", estimateMs);
        return step;
    }
}
