import java.io.File;
import java.io.IOException;
import java.net.ServerSocket;
import java.net.InetAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The project's coordinators, started with the command and the settings template of the deploy file. */
final class System3 implements AutoCloseable {

    private static final Pattern RUN = Pattern.compile("(?m)^run\\s*=\\s*\"(.*)\"\\s*$");
    private static final Pattern TEMPLATE = Pattern.compile("(?m)^template\\s*=\\s*\"(.*)\"\\s*$");
    private static final Pattern PLACEHOLDER = Pattern.compile("\\{\\{([A-Za-z.0-9]+)(\\|json)?}}");

    /** A machine with one process of the system. */
    final class Machine {
        final String name;
        final String ip;
        final int front;
        final int ready;
        final int peer;
        final Path settings;
        Process process;
        /** How often the process has ended by itself. */
        int exits;

        private boolean expectedDown;

        private Machine(String name, String ip) throws IOException {
            this.name = name;
            this.ip = ip;
            this.front = freePort(ip);
            this.ready = freePort(ip);
            this.peer = freePort(ip);
            this.settings = folder.resolve(name + ".json");
        }

        synchronized void start() throws IOException {
            expectedDown = false;
            Files.writeString(settings, render(this));
            ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile());
            builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            builder.environment().put("POLLENSILL_SETTINGS", settings.toString());
            File log = folder.resolve(name + ".log").toFile();
            process = builder.redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.appendTo(log))
                    .start();
            record.log(name + " started as process " + process.pid());
        }

        /** Sends a signal to the process. */
        void signal(String signal) throws IOException, InterruptedException {
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
            record.log(name + " gets SIG" + signal);
        }

        synchronized void kill() throws InterruptedException {
            expectedDown = true;
            process.destroyForcibly().waitFor();
            record.log(name + " is killed");
        }

        String front() {
            return ip + ":" + front;
        }

        private synchronized void restartIfEnded() throws IOException {
            if (process != null && !expectedDown && !process.isAlive()) {
                exits++;
                record.say(name + " ended by itself with code " + process.exitValue() + ", start " + (exits + 1)
                        + " follows");
                start();
            }
        }
    }

    final List<Machine> machines = new ArrayList<>();
    private final Path root;
    private final Path folder;
    private final String storeAddress;
    private final String adviceAddress;
    private final Record record;
    private final List<String> command;
    private final String template;
    private volatile boolean closed;

    System3(Path root, Path folder, String storeAddress, String adviceAddress, Record record) throws IOException {
        this.root = root;
        this.folder = folder;
        this.storeAddress = storeAddress;
        this.adviceAddress = adviceAddress;
        this.record = record;
        String deploy = Files.readString(root.resolve("deploy/system.toml"));
        this.command = List.of(group(RUN, deploy).split(" "));
        this.template = Files.readString(root.resolve(group(TEMPLATE, deploy)));
    }

    private static String group(Pattern pattern, String text) {
        Matcher matcher = pattern.matcher(text);
        if (!matcher.find()) {
            throw new IllegalStateException("no " + pattern);
        }
        return matcher.group(1);
    }

    private static int freePort(String ip) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
            return socket.getLocalPort();
        }
    }

    Machine add(String name, String ip) throws IOException {
        Machine machine = new Machine(name, ip);
        machines.add(machine);
        return machine;
    }

    /** Starts a process again that has ended by itself, after the short delay that the platform takes. */
    void watch() {
        Thread thread = new Thread(() -> {
            while (!closed) {
                try {
                    Thread.sleep(500);
                    for (Machine machine : machines) {
                        if (!closed) {
                            machine.restartIfEnded();
                        }
                    }
                } catch (IOException e) {
                    e.printStackTrace();
                } catch (InterruptedException e) {
                    return;
                }
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    /** Fills in the template as the platform does, for a machine of a small deployment. */
    private String render(Machine machine) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("NodeName", machine.name);
        fields.put("Zone", "caxias");
        fields.put("Region", "serra");
        fields.put("Ip", machine.ip);
        fields.put("Listen.Front", machine.front());
        fields.put("Listen.ReadyAddress", machine.ip + ":" + machine.ready);
        fields.put("InternalPorts.0", (long) machine.peer);
        fields.put("platform.Address", storeAddress);
        fields.put("platform.RowBytes", 65_536L);
        fields.put("Advice", adviceAddress);
        fields.put("Limits.CpuShare", 0.75);
        fields.put("Limits.Cores", 1L);
        fields.put("Limits.LinkMbps", 1000.0);
        Matcher matcher = PLACEHOLDER.matcher(template);
        StringBuilder rendered = new StringBuilder();
        while (matcher.find()) {
            Object value = fields.get(matcher.group(1));
            String text = matcher.group(2) != null ? Json.write(value) : value == null ? "" : value.toString();
            matcher.appendReplacement(rendered, Matcher.quoteReplacement(text));
        }
        return matcher.appendTail(rendered).toString();
    }

    /** Returns the machine whose process holds the leader row, which names it. */
    Optional<Machine> leader(Store store) {
        String row = store.get("leader", "", "lease");
        if (row.isEmpty()) {
            return Optional.empty();
        }
        Map<String, Object> lease = Json.object(row);
        if (Boolean.TRUE.equals(lease.get("released")) || Boolean.TRUE.equals(lease.get("loading"))) {
            return Optional.empty();
        }
        return machines.stream().filter(machine -> machine.name.equals(lease.get("leader"))).findFirst();
    }

    @Override
    public void close() {
        closed = true;
        for (Machine machine : machines) {
            if (machine.process != null) {
                machine.process.destroyForcibly();
            }
        }
        for (Machine machine : machines) {
            try {
                if (machine.process != null) {
                    machine.process.waitFor(5, TimeUnit.SECONDS);
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    /** Returns the last lines of the log of a machine that hold a word. */
    List<String> logLines(Machine machine, String word, int max) throws IOException {
        List<String> found = new ArrayList<>();
        Path log = folder.resolve(machine.name + ".log");
        if (Files.exists(log)) {
            for (String line : new String(Files.readAllBytes(log), StandardCharsets.UTF_8).split("\n")) {
                if (line.contains(word)) {
                    found.add(line);
                }
            }
        }
        return found.subList(Math.max(0, found.size() - max), found.size());
    }
}
