import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import org.pollensill.json.JsonObject;

/** A small deployment: the store, three coordinators in three zones, and runners. */
final class Fleet implements AutoCloseable {
    static final String SERVICE = "kaba98a";
    static final String HOST = "nony24.example";
    final Journal journal;
    final Store store;
    final String storeIp = "127.0.30.1";
    final List<Coordinator> coordinators = new ArrayList<>();
    final List<Runner> runners = new ArrayList<>();
    private final Path folder;
    private long version = 6;

    Fleet(Path caseFolder) throws Exception {
        journal = new Journal(caseFolder.resolve("record.txt"));
        Path root = Path.of("").toAbsolutePath();
        folder = Files.createTempDirectory("pollensill-review");
        int storePort = Http.freePort(storeIp);
        store = new Store(journal, storeIp, storePort);
        String[] zones = {"caxias", "tramandai", "vacaria"};
        String[] regions = {"serra", "litoral", "serra"};
        for (int i = 0; i < zones.length; i++) {
            coordinators.add(new Coordinator(root, folder, journal, "edge-" + zones[i] + "-1", "127.0.31." + (i + 1),
                    zones[i], regions[i], storeIp + ":" + storePort, ""));
        }
        Runtime.getRuntime().addShutdownHook(new Thread(this::end));
    }

    Runner addRunner(String zone, List<String> labels, int cpu, Runner.Work work) throws Exception {
        int number = runners.size() + 1;
        String ip = "127.0.32." + number;
        Runner runner = new Runner("i-7f3a91c" + number, ip, Http.freePort(ip), SERVICE, zone, labels, cpu, store,
                journal, work);
        runners.add(runner);
        return runner;
    }

    /** A route in the form of the operator's configuration. */
    static String route(String name, String prefix, int attempts, int priority) {
        return "{\"Name\":\"" + name + "\",\"Host\":\"" + HOST + "\",\"PathPrefix\":\"" + prefix
                + "\",\"Type\":\"non_idempotent\",\"TimeoutMs\":3000,\"TargetLatencyMs\":1000,\"Priority\":" + priority
                + ",\"Service\":\"" + SERVICE + "\",\"Attempts\":" + attempts + ",\"Stretch\":2.0}";
    }

    void configure(String... routes) {
        version += 1 + ThreadLocalRandom.current().nextInt(3);
        store.write("op", "config", "{\"Version\":" + version + ",\"Routes\":[" + String.join(",", routes)
                + "],\"Services\":[{\"Name\":\"" + SERVICE + "\",\"HealthCheck\":\"/health\",\"MaxConnections\":64,"
                + "\"Protocol\":\"h1\",\"Tls\":false,\"RejectsOverload\":true,\"Standby\":false}],\"Limits\":{"
                + "\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":262144,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}");
        journal.log("operator: configuration " + version + " with " + routes.length + " routes is acknowledged");
    }

    /** Starts everything and waits until all coordinators are ready and one leads. */
    void start() throws Exception {
        for (Runner runner : runners) {
            runner.begin(runner.labels());
        }
        for (Coordinator coordinator : coordinators) {
            coordinator.start();
        }
        for (int i = 0; i < 200; i++) {
            if (coordinators.stream().allMatch(Coordinator::ready) && leader().isPresent()) {
                journal.log("all coordinators are ready, " + leader().get().name + " leads");
                Thread.sleep(1_500);
                return;
            }
            Thread.sleep(100);
        }
        throw new IllegalStateException("the coordinators did not become ready");
    }

    /** The coordinator that wrote the leader row last: the one that wrote to the store under a condition. */
    Optional<Coordinator> leader() throws Exception {
        String row = store.read("leader", "lease");
        if (row.isEmpty()) {
            return Optional.empty();
        }
        String name = JsonObject.parse(row).text("leader").orElse("");
        return coordinators.stream().filter(each -> each.name.equals(name)).findFirst();
    }

    static String jobId() {
        return String.format("%016x", ThreadLocalRandom.current().nextLong());
    }

    /** Submits a job until an attempt is answered with 2xx, at another coordinator each time; 5 attempts. */
    boolean submit(String prefix, String id, String body) {
        for (int attempt = 0; attempt < 5; attempt++) {
            Coordinator to = coordinators.get((int) ((Long.parseUnsignedLong(id, 16) >>> 1) % 3 + attempt) % 3);
            if (to.alive() && to.call("POST", prefix + id, HOST, body, 3_000).status() / 100 == 2) {
                return true;
            }
            pause(200);
        }
        return false;
    }

    static void pause(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void end() {
        for (Coordinator coordinator : coordinators) {
            try {
                if (coordinator.alive()) {
                    coordinator.kill();
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    @Override
    public void close() {
        end();
        store.close();
        if (System.getenv("KEEP_LOGS") != null) {
            System.out.println("logs of the processes: " + folder);
            return;
        }
        try (var files = Files.list(folder)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
            Files.delete(folder);
        } catch (java.io.IOException e) {
            System.err.println("cannot delete " + folder + ": " + e.getMessage());
        }
    }
}
