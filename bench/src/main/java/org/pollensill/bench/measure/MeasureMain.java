package org.pollensill.bench.measure;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.pollensill.runtime.boot.Launcher;
import org.pollensill.runtime.event.LogSetup;

/** Command line of the measurements. */
public final class MeasureMain {

    private static final Map<String, Measurement> MEASUREMENTS = new TreeMap<>(Map.of(
            "flood", new FloodMeasurement(),
            "noisy", new NoisyMeasurement(),
            "kill", new KillMeasurement(),
            "batch", new BatchMeasurement(),
            "idle", new IdleMeasurement(),
            "slopes", new SlopesMeasurement()));

    private MeasureMain() {}

    /**
     * Runs one measurement.
     *
     * @param args the command line
     * @throws InterruptedException if the run is interrupted
     */
    public static void main(String[] args) throws InterruptedException {
        int exitCode = run(args);
        if (exitCode != 0) {
            System.exit(exitCode);
        }
    }

    private static int run(String... args) throws InterruptedException {
        CommandLine commandLine;
        try {
            commandLine = new DefaultParser().parse(options(), args);
        } catch (ParseException e) {
            return usageError(e.getMessage());
        }
        if (commandLine.hasOption("help")) {
            System.out.println("usage: measure " + String.join("|", MEASUREMENTS.keySet())
                    + " [--json FILE] [--keep DIR]\n  --json FILE  file for the results\n"
                    + "  --keep DIR   directory for configurations and logs");
            return Launcher.EXIT_OK;
        }
        if (commandLine.getArgList().size() != 1
                || !MEASUREMENTS.containsKey(commandLine.getArgList().get(0))) {
            return usageError("expected one of " + String.join(", ", MEASUREMENTS.keySet()));
        }
        LogSetup.configure("text", "warn");
        String name = commandLine.getArgList().get(0);
        try {
            Path directory = commandLine.hasOption("keep")
                    ? Files.createDirectories(Path.of(commandLine.getOptionValue("keep")))
                    : Files.createTempDirectory("pollensill-measure");
            Map<String, Object> results = new LinkedHashMap<>();
            results.put("measurement", name);
            results.put("startedAt", Instant.now().toString());
            results.put("loadAverageAtStart", loadAverage());
            results.put("processors", Runtime.getRuntime().availableProcessors());
            results.putAll(MEASUREMENTS
                    .get(name)
                    .run(Path.of(commandLine.getOptionValue("home", ".")), directory.toAbsolutePath()));
            results.put("loadAverageAtEnd", loadAverage());
            results.put("endedAt", Instant.now().toString());
            String json = JsonHttpClient.JSON.writerWithDefaultPrettyPrinter().writeValueAsString(results);
            System.out.println(json);
            if (commandLine.hasOption("json")) {
                Files.writeString(Path.of(commandLine.getOptionValue("json")), json);
            }
            return Launcher.EXIT_OK;
        } catch (IOException e) {
            System.err.println("measure: " + e.getMessage());
            return Launcher.EXIT_FAILED;
        }
    }

    /** Returns the load average of the machine; tail latencies measured on a busy machine are unreliable. */
    private static double loadAverage() {
        return FloodMeasurement.roundToThousandths(
                ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage());
    }

    private static Options options() {
        return new Options()
                .addOption(null, "home", true, "root of the repository")
                .addOption(null, "json", true, "file for the results")
                .addOption(null, "keep", true, "directory for configurations and logs")
                .addOption(null, "help", false, "print the usage");
    }

    private static int usageError(String message) {
        System.err.println("measure: " + message + " (see --help)");
        return Launcher.EXIT_USAGE;
    }
}
