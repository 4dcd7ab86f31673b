package org.pollensill.coordinator;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

import org.pollensill.dispatch.Dispatcher;
import org.pollensill.evacuation.ZoneEvacuations;
import org.pollensill.json.JsonObject;
import org.pollensill.json.JsonSyntaxException;

/**
 * Settings of a coordinator, read from a JSON file that may contain comments. A member that is missing, null, a blank
 * text or an empty list has its default; a list of one item stands for that item.
 *
 * @param name the name of the machine
 * @param zone the availability zone of the machine
 * @param region the region of the machine; by default its zone
 * @param clientAddress the listen address for clients
 * @param readinessAddress the listen address for readiness probes of the platform
 * @param peerAddress the listen address for other coordinators
 * @param storeAddress the address of the platform's store
 * @param metricsAddress the listen address for metrics, empty to serve none
 * @param adviceAddress the service that decides which runners may run a step, empty where there is none
 * @param stopWithinMs the maximum duration of a graceful shutdown
 * @param keepEndedMs the retention time of ended jobs
 * @param maxRowBytes the maximum size of a row in the store
 * @param evacuationMs the time after a request to empty a zone from which nothing may start there, empty where the
 *     operator makes no such requests
 * @param unavailableAfterMs the time without work after which users count a long-running task as missing
 * @param admissionLatenessFactor the multiple of its objective within which a job must be expected to be done to be
 *     accepted, empty to accept all
 * @param reserveForLargeTasks whether runners are reserved for large run-to-completion tasks that less urgent work
 *     overtakes
 * @param processors the number of processors available to this process, such as 0.75
 * @param linkMbps the bandwidth of the machine's network link, in megabits per second each way
 * @param logLevel the minimum level of log events
 */
public record CoordinatorSettings(
        String name,
        String zone,
        String region,
        InetSocketAddress clientAddress,
        InetSocketAddress readinessAddress,
        InetSocketAddress peerAddress,
        InetSocketAddress storeAddress,
        Optional<InetSocketAddress> metricsAddress,
        Optional<InetSocketAddress> adviceAddress,
        long stopWithinMs,
        long keepEndedMs,
        long maxRowBytes,
        Optional<Long> evacuationMs,
        long unavailableAfterMs,
        Optional<Double> admissionLatenessFactor,
        boolean reserveForLargeTasks,
        double processors,
        double linkMbps,
        String logLevel) {

    /** Default of {@code stopWithinMs}: below the shortest grace period of the users' deployments, 6 s. */
    public static final long DEFAULT_STOP_WITHIN_MS = 5_000;

    /** Default of {@code keepEndedMs}; the platform requires 120 s. */
    public static final long DEFAULT_KEEP_ENDED_MS = 150_000;

    /** Number of processors from which on a machine has the full leader weight. */
    private static final double FULL_WEIGHT_PROCESSORS = 1;

    /** Bandwidth from which on a machine has the full leader weight; a leader of 450 runners needs a tenth of it. */
    private static final double FULL_WEIGHT_LINK_MBPS = 100;

    /** Minimum weight, so that a slow machine still becomes the leader where there is no other. */
    private static final double MIN_LEADER_WEIGHT = 0.1;

    /** Default of {@code maxRowBytes}: the limit of the users' store. */
    public static final long DEFAULT_MAX_ROW_BYTES = 65_536;

    /**
     * Creates settings.
     *
     * @throws NullPointerException if an argument is null
     */
    public CoordinatorSettings {
        Objects.requireNonNull(name, "name is null");
        Objects.requireNonNull(zone, "zone is null");
        Objects.requireNonNull(region, "region is null");
        Objects.requireNonNull(clientAddress, "clientAddress is null");
        Objects.requireNonNull(readinessAddress, "readinessAddress is null");
        Objects.requireNonNull(peerAddress, "peerAddress is null");
        Objects.requireNonNull(storeAddress, "storeAddress is null");
        Objects.requireNonNull(metricsAddress, "metricsAddress is null");
        Objects.requireNonNull(adviceAddress, "adviceAddress is null");
        Objects.requireNonNull(evacuationMs, "evacuationMs is null");
        Objects.requireNonNull(admissionLatenessFactor, "admissionLatenessFactor is null");
        Objects.requireNonNull(logLevel, "logLevel is null");
    }

    /**
     * Reads a settings file.
     *
     * @param file the file
     * @return the settings
     * @throws SettingsFileException if the file cannot be read or is invalid; lists all problems
     */
    public static CoordinatorSettings read(Path file) throws SettingsFileException {
        try {
            return parse(Files.readString(file));
        } catch (IOException e) {
            throw new SettingsFileException(List.of("cannot read " + file + ": " + e.getMessage()));
        }
    }

    /**
     * Parses settings from text.
     *
     * @param text the text
     * @return the settings
     * @throws SettingsFileException if the text is invalid; lists all problems
     */
    public static CoordinatorSettings parse(String text) throws SettingsFileException {
        JsonObject object;
        try {
            object = JsonObject.parse(text);
        } catch (JsonSyntaxException e) {
            throw new SettingsFileException(List.of("not a JSON object: " + e.getMessage()));
        }
        SettingsReader reader = new SettingsReader(object);
        String name = reader.requiredText("name");
        String zone = reader.requiredText("zone");
        String region = reader.text("region").orElse(zone);
        Optional<InetSocketAddress> client = reader.requiredAddress("clientAddress");
        Optional<InetSocketAddress> readiness = reader.requiredAddress("readinessAddress");
        Optional<InetSocketAddress> peer = reader.requiredAddress("peerAddress");
        Optional<InetSocketAddress> store = reader.requiredAddress("storeAddress");
        Optional<InetSocketAddress> metrics = reader.address("metricsAddress");
        Optional<InetSocketAddress> advice = reader.address("adviceAddress");
        long stopWithinMs = reader.integer("stopWithinMs", 1).orElse(DEFAULT_STOP_WITHIN_MS);
        long keepEndedMs = reader.integer("keepEndedMs", 1).orElse(DEFAULT_KEEP_ENDED_MS);
        long maxRowBytes = reader.integer("maxRowBytes", 1).orElse(DEFAULT_MAX_ROW_BYTES);
        Optional<Long> evacuationMs = reader.integer("evacuationMs", ZoneEvacuations.MIN_BOUND_MS);
        long unavailableAfterMs =
                reader.integer("unavailableAfterMs", 1).orElse(Dispatcher.defaultUnavailableAfterMs());
        Optional<Double> admissionLatenessFactor = reader.factor("admissionLatenessFactor");
        boolean reserveForLargeTasks = reader.flag("reserveForLargeTasks");
        double processors = reader.positive("processorShare").orElse(1.0)
                * reader.integer("processorCores", 1).orElse(1L);
        double linkMbps = reader.positive("linkMbps").orElse(FULL_WEIGHT_LINK_MBPS);
        String logLevel = reader.text("logLevel").orElse("info");
        if (!reader.problems().isEmpty()) {
            throw new SettingsFileException(reader.problems());
        }
        return new CoordinatorSettings(
                name,
                zone,
                region,
                client.get(),
                readiness.get(),
                peer.get(),
                store.get(),
                metrics,
                advice,
                stopWithinMs,
                keepEndedMs,
                maxRowBytes,
                evacuationMs,
                unavailableAfterMs,
                admissionLatenessFactor,
                reserveForLargeTasks,
                processors,
                linkMbps,
                logLevel);
    }

    /**
     * Returns the weight of this machine in the leader election.
     *
     * @return 1 for a machine with enough processors and bandwidth, less for a weaker one
     */
    public double leaderWeight() {
        double processorWeight = Math.min(1, processors / FULL_WEIGHT_PROCESSORS);
        double linkWeight = Math.min(1, linkMbps / FULL_WEIGHT_LINK_MBPS);
        return Math.max(MIN_LEADER_WEIGHT, processorWeight * linkWeight);
    }
}
