package org.pollensill.bench.measure;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

import com.fasterxml.jackson.databind.JsonNode;

/** The stand-in and the daemons of one zone, each in a process of its own, on loopback addresses. */
final class Fleet implements AutoCloseable {

    private static final String OPERATOR_TOKEN = "measure-operator";
    private static final long START_TIMEOUT_MS = 30_000;
    private static final long POLL_INTERVAL_MS = 50;

    /** A daemon of the fleet. */
    record Daemon(String name, String callerAddress, String peerAddress, String adminAddress, ManagedProcess process) {

        boolean isReady() throws InterruptedException {
            return new JsonHttpClient(adminAddress, "").status("/readyz") == 200;
        }

        JsonHttpClient operatorClient() {
            return new JsonHttpClient(adminAddress, OPERATOR_TOKEN);
        }
    }

    private final Path home;
    private final Path directory;
    private final List<Daemon> entries = new ArrayList<>();
    private final List<Daemon> schedulers = new ArrayList<>();
    private ManagedProcess standin;
    private JsonNode standinPorts;

    private Fleet(Path home, Path directory) {
        this.home = home;
        this.directory = directory;
    }

    /**
     * Starts the stand-in and the daemons and waits until all are ready.
     *
     * @param home root of the repository
     * @param directory directory for configurations and logs
     * @param workload upstreams and kinds
     * @param entryCount number of entry daemons
     * @param schedulerCount number of schedulers
     * @param workerCount number of workers that the stand-in simulates
     * @return the fleet
     */
    static Fleet start(
            Path home, Path directory, Workload workload, int entryCount, int schedulerCount, int workerCount)
            throws IOException, InterruptedException {
        Objects.requireNonNull(home, "home is null");
        Fleet fleet = new Fleet(home, Files.createDirectories(directory));
        try {
            fleet.startStandin(workload, entryCount, schedulerCount, workerCount);
            for (Daemon daemon : fleet.daemons()) {
                fleet.writeBootFile(daemon);
                daemon.process().start();
            }
            if (entryCount > 0) {
                new SettingsLoader(fleet.entries.get(0).adminAddress(), OPERATOR_TOKEN).load(workload.settingsTree());
            }
            for (Daemon daemon : fleet.daemons()) {
                fleet.awaitReady(daemon);
            }
            return fleet;
        } catch (IOException | InterruptedException | RuntimeException e) {
            fleet.close();
            throw e;
        }
    }

    private void startStandin(Workload workload, int entryCount, int schedulerCount, int workerCount)
            throws IOException, InterruptedException {
        List<Map<String, Object>> hostList = new ArrayList<>();
        for (int i = 0; i < entryCount; i++) {
            entries.add(newDaemon("e" + (i + 1), "pollensill-entry"));
            hostList.add(hostListEntry(entries.get(i), "ENTRY"));
        }
        for (int i = 0; i < schedulerCount; i++) {
            schedulers.add(newDaemon("s" + (i + 1), "pollensill-scheduler"));
            hostList.add(hostListEntry(schedulers.get(i), "SCHEDULER"));
        }
        Path config = writeJson("standin.json", workload.standinConfig(workerCount, hostList));
        Path portsFile = directory.resolve("ports.json");
        Files.deleteIfExists(portsFile);
        standin = newProcess("standin", "pollensill-standin", config, "--ports-file", portsFile.toString());
        standin.start();
        awaitCondition("stand-in", () -> Files.exists(portsFile), standin);
        standinPorts = JsonHttpClient.JSON.readTree(portsFile.toFile());
    }

    private Daemon newDaemon(String name, String binary) throws IOException {
        String callerAddress = freeAddress();
        String peerAddress = freeAddress();
        String adminAddress = freeAddress();
        ManagedProcess process = newProcess(name, binary, directory.resolve(name + ".json"));
        return new Daemon(name, callerAddress, peerAddress, adminAddress, process);
    }

    private static Map<String, Object> hostListEntry(Daemon daemon, String role) {
        return Map.of(
                "name",
                daemon.name(),
                "address",
                daemon.peerAddress(),
                "role",
                role,
                "region",
                Workload.REGION,
                "zone",
                Workload.ZONE);
    }

    private void writeBootFile(Daemon daemon) throws IOException {
        Path fleetTokenFile = directory.resolve("fleet-token");
        Files.writeString(fleetTokenFile, "measure-fleet");
        Path operatorTokensFile = writeJson(
                "operators.json",
                Map.of(
                        "tokens",
                        List.of(Map.of(
                                "token", OPERATOR_TOKEN, "name", "measure", "rights", List.of("read", "change")))));
        Map<String, Object> bootFile = new LinkedHashMap<>();
        bootFile.put("host", daemon.name());
        bootFile.put("region", Workload.REGION);
        bootFile.put("zone", Workload.ZONE);
        if (entries.contains(daemon)) {
            bootFile.put("callerAddress", daemon.callerAddress());
        }
        bootFile.put("peerAddress", daemon.peerAddress());
        bootFile.put("adminAddress", daemon.adminAddress());
        String platform = standinPorts.path("platform").asText();
        bootFile.put("platform", Map.of("tables", platform, "objects", platform, "hosts", platform));
        bootFile.put(
                "peers",
                daemons().stream()
                        .filter(other -> other != daemon)
                        .map(Daemon::peerAddress)
                        .toList());
        bootFile.put("fleetTokenFile", fleetTokenFile.toString());
        bootFile.put("operatorTokensFile", operatorTokensFile.toString());
        bootFile.put("log", Map.of("format", "json", "level", "info"));
        writeJson(daemon.name() + ".json", bootFile);
    }

    private Path writeJson(String name, Object content) throws IOException {
        Path file = directory.resolve(name);
        JsonHttpClient.JSON.writerWithDefaultPrettyPrinter().writeValue(file.toFile(), content);
        return file;
    }

    private ManagedProcess newProcess(String name, String binary, Path config, String... moreArguments) {
        List<String> command = new ArrayList<>();
        command.add(home.resolve("bin").resolve(binary).toString());
        command.add("--config");
        command.add(config.toString());
        command.addAll(List.of(moreArguments));
        return new ManagedProcess(name, command, directory.resolve(name + ".log"), Map.of());
    }

    void awaitReady(Daemon daemon) throws IOException, InterruptedException {
        awaitCondition(daemon.name(), daemon::isReady, daemon.process());
    }

    private interface Condition {

        boolean holds() throws IOException, InterruptedException;
    }

    private static void awaitCondition(String name, Condition condition, ManagedProcess process)
            throws IOException, InterruptedException {
        long deadlineNs = System.nanoTime() + START_TIMEOUT_MS * 1_000_000;
        while (!condition.holds()) {
            if (!process.isAlive() || System.nanoTime() > deadlineNs) {
                throw new IOException(name + " did not become ready, see " + process.log());
            }
            Thread.sleep(POLL_INTERVAL_MS);
        }
    }

    List<Daemon> entries() {
        return List.copyOf(entries);
    }

    List<Daemon> schedulers() {
        return List.copyOf(schedulers);
    }

    List<Daemon> daemons() {
        List<Daemon> daemons = new ArrayList<>(entries);
        daemons.addAll(schedulers);
        return daemons;
    }

    /** Returns the process ids of the stand-in and the daemons by name. */
    Map<String, Long> processes() {
        Map<String, Long> processes = new LinkedHashMap<>();
        processes.put("standin", standin.pid());
        daemons()
                .forEach(daemon -> processes.put(daemon.name(), daemon.process().pid()));
        return processes;
    }

    List<String> callerAddresses() {
        return entries.stream().map(Daemon::callerAddress).toList();
    }

    List<String> adminAddresses() {
        return entries.stream().map(Daemon::adminAddress).toList();
    }

    List<String> upstreamAddresses() {
        List<String> addresses = new ArrayList<>();
        standinPorts.path("upstreams").forEach(address -> addresses.add(address.asText()));
        return addresses;
    }

    List<String> upstreamNames() {
        List<String> names = new ArrayList<>();
        standinPorts.path("upstreams").fieldNames().forEachRemaining(names::add);
        return names;
    }

    String standinAdminAddress() {
        return standinPorts.path("admin").asText();
    }

    JsonHttpClient standinClient() {
        return new JsonHttpClient(standinAdminAddress(), "");
    }

    /** Activates or ends a fault in the stand-in. */
    void setFault(Map<String, Object> fault) throws IOException, InterruptedException {
        standinClient().post("/faults", fault);
    }

    /** Returns the number of violations of each guarantee that the stand-in counted; all must be zero. */
    Map<String, Object> guaranteeCounters() throws IOException, InterruptedException {
        JsonNode counters = standinClient().get("/counters");
        Map<String, Object> guarantees = new LinkedHashMap<>();
        for (String name : List.of(
                "slotOverruns",
                "connectionOverruns",
                "ranTwice",
                "workAfterLeaving",
                "wrongNotRun",
                "tasksRunningTwice",
                "tasksFinishedTwice",
                "resumedTwice",
                "tasksLost")) {
            guarantees.put(name, counters.path(name).asLong(-1));
        }
        return guarantees;
    }

    private static String freeAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return "127.0.0.1:" + socket.getLocalPort();
        }
    }

    @Override
    public void close() {
        for (Daemon daemon : daemons()) {
            daemon.process().close();
        }
        if (standin != null) {
            standin.close();
        }
    }
}
