package org.pollensill.load;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.pollensill.runtime.boot.Launcher;
import org.pollensill.runtime.event.LogSetup;

/** Command line of the load generator. */
public final class LoadMain {

    private static final String USAGE = """
            usage: pollensill-load --config FILE [--json FILE] [--check]
              --config FILE  configuration (JSON with comments)
              --json FILE    file to which the report is written as JSON
              --check        checks the configuration and exits
              --help         prints this text
              --version      prints the version
            """;

    private LoadMain() {}

    /**
     * Runs a load and prints its report.
     *
     * @param args the command line
     * @throws InterruptedException if the run is interrupted
     */
    public static void main(String[] args) throws InterruptedException {
        int code = run(args);
        if (code != 0) {
            System.exit(code);
        }
    }

    static int run(String... args) throws InterruptedException {
        CommandLine line;
        try {
            line = new DefaultParser().parse(options(), args);
            if (!line.getArgList().isEmpty()) {
                return badUsage("unexpected argument " + line.getArgList().get(0));
            }
        } catch (ParseException e) {
            return badUsage(e.getMessage());
        }
        if (line.hasOption("help")) {
            System.out.print(USAGE);
            return 0;
        }
        if (line.hasOption("version")) {
            System.out.println("pollensill-load " + Launcher.version());
            return 0;
        }
        if (!line.hasOption("config")) {
            return badUsage("--config is missing");
        }
        LoadConfig config;
        try {
            config = LoadConfig.read(Path.of(line.getOptionValue("config")));
        } catch (IOException | IllegalArgumentException e) {
            return badUsage("configuration " + line.getOptionValue("config") + ": " + firstLine(e));
        }
        if (line.hasOption("check")) {
            return 0;
        }
        return generate(config, line.getOptionValue("json"));
    }

    private static int generate(LoadConfig config, String jsonFile) throws InterruptedException {
        LogSetup.configure("text", "info");
        try {
            LoadReport report = LoadGenerator.run(config);
            System.out.print(report.text());
            if (jsonFile != null) {
                Files.writeString(Path.of(jsonFile), report.prettyJson());
            }
            return 0;
        } catch (IOException e) {
            System.err.println("pollensill-load: " + firstLine(e));
            return 1;
        }
    }

    private static Options options() {
        return new Options()
                .addOption(null, "config", true, "configuration")
                .addOption(null, "json", true, "file for the report")
                .addOption(null, "check", false, "check the configuration")
                .addOption(null, "help", false, "print the usage")
                .addOption(null, "version", false, "print the version");
    }

    private static int badUsage(String message) {
        System.err.println("pollensill-load: " + message + " (see --help)");
        return Launcher.EXIT_USAGE;
    }

    private static String firstLine(Exception e) {
        return String.valueOf(e.getMessage()).lines().findFirst().orElse("");
    }
}
