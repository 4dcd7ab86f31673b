import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Coordinators as processes, with the command of deploy/system.toml and its template of settings. */
final class Fleet {

    private static final Pattern PLACEHOLDER = Pattern.compile("\\{\\{([A-Za-z.0-9]+)(\\|json)?\\}\\}");
    private static final Pattern RUN = Pattern.compile("(?m)^run = \"(.*)\"$");

    /** A coordinator's machine and its process. */
    final class Machine {
        final String name;
        final String ip;
        final String front;
        final String ready;
        private final Path settings;
        private Process process;
        private int starts;

        private Machine(String name, String ip, String zone, String region) throws IOException {
            this.name = name;
            this.ip = ip;
            this.front = ip + ":" + port;
            this.ready = ip + ":" + (port + 1);
            this.settings = folder.resolve(name + ".json");
            Map<String, Object> fields = Json.of(
                    "NodeName", name, "Zone", zone, "Region", region,
                    "Listen.Front", front, "Listen.ReadyAddress", ready,
                    "Ip", ip, "InternalPorts.0", (long) (port + 2),
                    "platform.Address", storeAddress, "Advice", "", "platform.RowBytes", 65_536L,
                    "Limits.CpuShare", 0.75, "Limits.Cores", 1L, "Limits.LinkMbps", 1000.0);
            Matcher placeholder = PLACEHOLDER.matcher(Files.readString(home.resolve("deploy/coordinator.settings.json")));
            Files.writeString(settings, placeholder.replaceAll(found -> {
                Object value = fields.get(found.group(1));
                return Matcher.quoteReplacement(found.group(2) == null ? String.valueOf(value) : Json.write(value));
            }));
        }

        void start() throws IOException {
            starts++;
            ProcessBuilder builder = new ProcessBuilder(command);
            builder.directory(home.toFile());
            builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            builder.environment().put("POLLENSILL_SETTINGS", settings.toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(folder.resolve(name + "-" + starts + ".log").toFile());
            process = builder.start();
            record.line(name + " starts, pid " + process.pid());
        }

        Process process() {
            return process;
        }

        void signal(String signal) throws IOException, InterruptedException {
            record.line("SIG" + signal + " to " + name);
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
        }

        boolean isReady() {
            return Http.call("GET", ready, "/api/readiness", name, "", 500).status() == 200;
        }
    }

    final List<Machine> machines = new ArrayList<>();
    private final Path home;
    private final Path folder;
    private final String storeAddress;
    private final int port;
    private final Record record;
    private final List<String> command;

    Fleet(Path home, Path folder, String storeAddress, int port, Record record) throws IOException {
        this.home = home;
        this.folder = folder;
        this.storeAddress = storeAddress;
        this.port = port;
        this.record = record;
        Matcher run = RUN.matcher(Files.readString(home.resolve("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("deploy/system.toml has no command");
        }
        this.command = List.of(run.group(1).split(" "));
    }

    Machine add(String name, String ip, String zone, String region) throws IOException {
        Machine machine = new Machine(name, ip, zone, region);
        machines.add(machine);
        return machine;
    }

    boolean awaitReady(long timeoutMs) throws InterruptedException {
        long endMs = System.currentTimeMillis() + timeoutMs;
        while (System.currentTimeMillis() < endMs) {
            if (machines.stream().allMatch(Machine::isReady)) {
                return true;
            }
            Thread.sleep(100);
        }
        return false;
    }

    /** Returns the machine whose process holds the leader lease, null if there is none. */
    Machine leader(Store store) {
        String row = store.read("leader", "lease");
        if (row == null) {
            return null;
        }
        String name = Json.string(Json.object(row), "leader");
        return machines.stream().filter(machine -> machine.name.equals(name)).findFirst().orElse(null);
    }

    void stop() {
        for (Machine machine : machines) {
            if (machine.process != null) {
                machine.process.destroyForcibly();
            }
        }
    }
}
