package org.pollensill.coordinator;

import java.nio.file.Path;
import java.util.Arrays;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.pollensill.runtime.event.EventLog;
import org.pollensill.runtime.event.LogSetup;
import org.pollensill.runtime.event.RuntimeEvent;
import org.pollensill.runtime.http.ListenException;
import sun.misc.Signal;

/** Command line of the coordinator. */
public final class CoordinatorMain {

    private static final EventLog LOG = EventLog.of(CoordinatorMain.class);
    private static final String SETTINGS_VARIABLE = "POLLENSILL_SETTINGS";
    private static final int USAGE_ERROR = 2;
    private static final int START_ERROR = 1;

    private CoordinatorMain() {}

    /**
     * Runs the coordinator until the process is terminated.
     *
     * @param arguments the command-line arguments
     * @throws InterruptedException if the thread is interrupted while it waits
     */
    public static void main(String[] arguments) throws InterruptedException {
        Optional<Path> file = settingsFile(arguments);
        if (file.isEmpty()) {
            return;
        }
        boolean checkOnly = Arrays.asList(arguments).contains("--check");
        LogSetup.configureBounded("info");
        CoordinatorSettings settings;
        try {
            settings = CoordinatorSettings.read(file.get());
        } catch (SettingsFileException e) {
            if (checkOnly) {
                e.problems().forEach(problem -> System.err.println("pollensill-coordinator: " + problem));
            } else {
                e.problems()
                        .forEach(problem -> LOG.log(RuntimeEvent.START_FAILED, "file", file.get(), "problem", problem));
            }
            exit(USAGE_ERROR);
            return;
        }
        if (checkOnly) {
            System.out.println("settings are valid: " + file.get());
            return;
        }
        LogSetup.setLevel(settings.logLevel());
        Coordinator coordinator;
        try {
            coordinator = Coordinator.start(settings);
        } catch (ListenException e) {
            LOG.log(RuntimeEvent.START_FAILED, "problem", e.getMessage());
            exit(START_ERROR);
            return;
        }
        Signal.handle(new Signal("HUP"), signal -> reload(file.get()));
        CountDownLatch termination = new CountDownLatch(1);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(coordinator, settings), "stop"));
        termination.await();
    }

    private static Optional<Path> settingsFile(String[] arguments) {
        Options options = new Options()
                .addOption("c", "config", true, "settings file; default: the variable " + SETTINGS_VARIABLE)
                .addOption(null, "check", false, "check the settings and exit")
                .addOption("h", "help", false, "show this help")
                .addOption(null, "version", false, "show the version");
        CommandLine line;
        try {
            line = new DefaultParser().parse(options, arguments);
        } catch (ParseException e) {
            System.err.println("pollensill-coordinator: " + e.getMessage());
            System.exit(USAGE_ERROR);
            return Optional.empty();
        }
        if (line.hasOption("help")) {
            System.out.println("usage: pollensill-coordinator [--config FILE] [--check] [--help] [--version]");
            return Optional.empty();
        }
        if (line.hasOption("version")) {
            String version = CoordinatorMain.class.getPackage().getImplementationVersion();
            System.out.println(
                    "pollensill-coordinator " + Optional.ofNullable(version).orElse("development"));
            return Optional.empty();
        }
        String file = line.getOptionValue("config", System.getenv(SETTINGS_VARIABLE));
        if (file == null) {
            System.err.println("pollensill-coordinator: no settings: use --config or set " + SETTINGS_VARIABLE);
            System.exit(USAGE_ERROR);
            return Optional.empty();
        }
        return Optional.of(Path.of(file));
    }

    /** Ends the process once its log has been written. */
    private static void exit(int code) {
        LogSetup.close();
        System.exit(code);
    }

    private static void reload(Path file) {
        try {
            CoordinatorSettings settings = CoordinatorSettings.read(file);
            LogSetup.setLevel(settings.logLevel());
            LOG.log(CoordinatorEvent.SETTINGS_RELOADED, "file", file);
        } catch (SettingsFileException e) {
            LOG.log(CoordinatorEvent.SETTINGS_UNREADABLE, "file", file, "problem", e.getMessage());
        }
    }

    private static void stop(Coordinator coordinator, CoordinatorSettings settings) {
        CountDownLatch stopped = new CountDownLatch(1);
        coordinator.stop(stopped::countDown);
        try {
            if (!stopped.await(settings.stopWithinMs(), TimeUnit.MILLISECONDS)) {
                LOG.log(RuntimeEvent.STOP_TIMED_OUT, "withinMs", settings.stopWithinMs());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
