import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One process of the project, started as the deploy file says, with settings made from the project's template. */
final class Coordinator {
    private static final Pattern PLACEHOLDER = Pattern.compile("\\{\\{([A-Za-z.0-9]+)(\\|json)?}}");
    final String name;
    final String ip;
    final int frontPort;
    final int readyPort;
    private final Path root;
    private final Path folder;
    private final Path settings;
    private final Journal journal;
    private Process process;
    private int lives;

    Coordinator(Path root, Path folder, Journal journal, String name, String ip, String zone, String region,
            String storeAddress, String adviceAddress) throws IOException {
        this.root = root;
        this.folder = folder;
        this.journal = journal;
        this.name = name;
        this.ip = ip;
        this.frontPort = Http.freePort(ip);
        this.readyPort = Http.freePort(ip);
        int peerPort = Http.freePort(ip);
        this.settings = folder.resolve(name + ".json");
        Map<String, String> fields = Map.ofEntries(
                Map.entry("NodeName", name),
                Map.entry("Zone", zone),
                Map.entry("Region", region),
                Map.entry("Ip", ip),
                Map.entry("Listen.Front", ip + ":" + frontPort),
                Map.entry("Listen.ReadyAddress", ip + ":" + readyPort),
                Map.entry("InternalPorts.0", Integer.toString(peerPort)),
                Map.entry("platform.Address", storeAddress),
                Map.entry("platform.RowBytes", Integer.toString(Store.ROW_BYTES)),
                Map.entry("Advice", adviceAddress),
                Map.entry("Limits.CpuShare", "0.75"),
                Map.entry("Limits.Cores", "1"),
                Map.entry("Limits.LinkMbps", "1000.0"));
        Matcher matcher = PLACEHOLDER.matcher(Files.readString(root.resolve("deploy/coordinator.settings.json")));
        StringBuilder text = new StringBuilder();
        while (matcher.find()) {
            String value = fields.getOrDefault(matcher.group(1), "");
            boolean quoted = matcher.group(2) != null && !value.matches("[0-9.]+|");
            matcher.appendReplacement(text, quoted ? "\"" + value + "\"" : value);
        }
        matcher.appendTail(text);
        Files.writeString(settings, text.toString());
    }

    void start() throws IOException {
        String deploy = Files.readString(root.resolve("deploy/system.toml"));
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(deploy);
        if (!run.find()) {
            throw new IOException("no run command in deploy/system.toml");
        }
        List<String> command = new ArrayList<>(Arrays.asList(run.group(1).split(" ")));
        ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile());
        Map<String, String> variables = builder.environment();
        variables.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        variables.put("POLLENSILL_SETTINGS", settings.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(folder.resolve(name + "." + ++lives + ".log").toFile());
        process = builder.start();
        journal.log("coordinator " + name + " is started, process " + process.pid());
    }

    boolean alive() {
        return process != null && process.isAlive();
    }

    void kill() throws InterruptedException {
        process.destroyForcibly().waitFor();
        journal.log("coordinator " + name + " is killed");
    }

    void signal(String signal) throws Exception {
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
        journal.log("coordinator " + name + " gets SIG" + signal);
    }

    void terminate() {
        process.destroy();
        journal.log("coordinator " + name + " gets SIGTERM");
    }

    boolean ready() {
        return alive() && Http.call(ip, readyPort, "GET", "/api/readiness", "x", "", 500).status() == 200;
    }

    Http.Response call(String method, String path, String host, String body, int timeoutMs) {
        Http.Response response = Http.call(ip, frontPort, method, path, host, body, timeoutMs);
        journal.log("client: " + method + " " + path + " at " + name + " -> "
                + (response.status() == 0 ? "no answer (" + response.body() + ")" : response.status() + " " + response.body()));
        return response;
    }
}
