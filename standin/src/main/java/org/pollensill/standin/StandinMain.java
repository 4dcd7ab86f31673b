package org.pollensill.standin;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.concurrent.CountDownLatch;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.pollensill.runtime.boot.Launcher;
import org.pollensill.runtime.event.EventLog;
import org.pollensill.runtime.event.LogSetup;

/** Command line of the stand-in. */
public final class StandinMain {

    private static final EventLog LOG = EventLog.of(StandinMain.class);
    private static final String USAGE = """
            usage: pollensill-standin --config FILE [--ports-file FILE] [--check]
              --config FILE      configuration (JSON with comments)
              --ports-file FILE  file to which the addresses are written once all ports are open
              --check            checks the configuration and exits
              --help             prints this text
              --version          prints the version
            """;

    private StandinMain() {}

    /**
     * Runs the stand-in until the process receives a termination signal.
     *
     * @param args the command line
     * @throws InterruptedException if the thread is interrupted while it waits for termination
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
            System.out.println("pollensill-standin " + Launcher.version());
            return 0;
        }
        if (!line.hasOption("config")) {
            return badUsage("--config is missing");
        }
        StandinConfig config;
        try {
            config = StandinConfig.read(Path.of(line.getOptionValue("config")));
        } catch (IOException | IllegalArgumentException e) {
            return badUsage("configuration " + line.getOptionValue("config") + ": " + firstLine(e));
        }
        if (line.hasOption("check")) {
            return 0;
        }
        return serve(config, line.getOptionValue("ports-file"));
    }

    private static int serve(StandinConfig config, String portsFile) throws InterruptedException {
        LogSetup.configure("json", "info");
        CountDownLatch stopped = new CountDownLatch(1);
        try (Standin standin = Standin.start(config)) {
            Runtime.getRuntime().addShutdownHook(new Thread(() -> {
                LOG.log(StandinEvent.STOPPING);
                stopped.countDown();
            }));
            if (portsFile != null) {
                writePorts(standin, Path.of(portsFile));
            }
            LOG.log(StandinEvent.STARTED, "admin", standin.address("admin"), "platform", standin.address("platform"));
            stopped.await();
            return 0;
        } catch (IOException e) {
            System.err.println("pollensill-standin: " + firstLine(e));
            return 1;
        }
    }

    /** Writes the addresses atomically, so that a reader never sees a partial file. */
    private static void writePorts(Standin standin, Path file) throws IOException {
        Path parent = file.toAbsolutePath().getParent();
        Path temporaryFile = Files.createTempFile(parent, "ports", ".json");
        String content = Exchange.JSON.writerWithDefaultPrettyPrinter().writeValueAsString(standin.ports());
        Files.writeString(temporaryFile, content, StandardCharsets.UTF_8);
        Files.move(temporaryFile, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }

    private static Options options() {
        return new Options()
                .addOption(null, "config", true, "configuration")
                .addOption(null, "ports-file", true, "file for the addresses")
                .addOption(null, "check", false, "check the configuration")
                .addOption(null, "help", false, "print the usage")
                .addOption(null, "version", false, "print the version");
    }

    private static int badUsage(String message) {
        System.err.println("pollensill-standin: " + message + " (see --help)");
        return Launcher.EXIT_USAGE;
    }

    private static String firstLine(Exception e) {
        return String.valueOf(e.getMessage()).lines().findFirst().orElse("");
    }
}
