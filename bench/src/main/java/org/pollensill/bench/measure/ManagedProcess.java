package org.pollensill.bench.measure;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/** A child process of the measurement. Signals go to its process id only. */
final class ManagedProcess implements AutoCloseable {

    private static final long STOP_TIMEOUT_SECONDS = 15;
    private static final Set<Process> RUNNING = ConcurrentHashMap.newKeySet();

    static {
        // Ends all child processes when the measurement itself is terminated.
        Runtime.getRuntime().addShutdownHook(new Thread(() -> RUNNING.forEach(Process::destroyForcibly)));
    }

    private final String name;
    private final List<String> command;
    private final Path log;
    private final Map<String, String> environment;
    private Process process;

    ManagedProcess(String name, List<String> command, Path log, Map<String, String> environment) {
        this.name = Objects.requireNonNull(name, "name is null");
        this.command = List.copyOf(command);
        this.log = Objects.requireNonNull(log, "log is null");
        this.environment = Map.copyOf(environment);
    }

    void start() throws IOException {
        ProcessBuilder builder = new ProcessBuilder(new ArrayList<>(command));
        builder.environment().putAll(environment);
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        process = builder.start();
        RUNNING.add(process);
        Process started = process;
        started.onExit().thenRun(() -> RUNNING.remove(started));
    }

    String name() {
        return name;
    }

    Path log() {
        return log;
    }

    long pid() {
        return process.pid();
    }

    boolean isAlive() {
        return process != null && process.isAlive();
    }

    /** Sends a signal by name, for example STOP. */
    void signal(String signalName) throws IOException, InterruptedException {
        if (isAlive()) {
            new ProcessBuilder("kill", "-" + signalName, Long.toString(pid()))
                    .start()
                    .waitFor();
        }
    }

    /** Waits for the process to exit and returns the time that took in milliseconds, or -1 after the time-out. */
    long awaitExitMs(long timeoutMs) throws InterruptedException {
        long startNs = System.nanoTime();
        return process.waitFor(timeoutMs, TimeUnit.MILLISECONDS) ? (System.nanoTime() - startNs) / 1_000_000 : -1;
    }

    @Override
    public void close() {
        if (!isAlive()) {
            return;
        }
        try {
            signal("CONT");
            process.destroy();
            if (!process.waitFor(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                process.destroyForcibly().waitFor();
            }
        } catch (IOException | InterruptedException e) {
            process.destroyForcibly();
        }
    }
}
