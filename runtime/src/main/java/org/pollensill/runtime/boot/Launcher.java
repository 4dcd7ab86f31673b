package org.pollensill.runtime.boot;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.Objects;
import java.util.concurrent.CountDownLatch;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.pollensill.error.PollensillException;
import org.pollensill.runtime.event.EventLog;
import org.pollensill.runtime.event.LogSetup;
import org.pollensill.runtime.event.RuntimeEvent;

/** Command line of the daemons: {@code --config FILE}, {@code --check}, {@code --help}, {@code --version}. */
public final class Launcher {

    /** Exit code of a process that ended normally. */
    public static final int EXIT_OK = 0;

    /** Exit code of a process that could not start. */
    public static final int EXIT_FAILED = 1;

    /** Exit code for unknown options and invalid values. */
    public static final int EXIT_USAGE = 2;

    private static final EventLog LOG = EventLog.of(Launcher.class);

    private final String program;
    private final String summary;
    private final Daemon.Factory factory;
    private final PrintStream out;
    private final PrintStream err;

    private Launcher(String program, String summary, Daemon.Factory factory, PrintStream out, PrintStream err) {
        this.program = Objects.requireNonNull(program, "program is null");
        this.summary = Objects.requireNonNull(summary, "summary is null");
        this.factory = Objects.requireNonNull(factory, "factory is null");
        this.out = Objects.requireNonNull(out, "out is null");
        this.err = Objects.requireNonNull(err, "err is null");
    }

    /**
     * Creates a launcher.
     *
     * @param program the name of the program
     * @param summary one-sentence description for the help text
     * @param factory creates the daemon
     * @param out standard output
     * @param err standard error
     * @return the launcher
     */
    public static Launcher of(
            String program, String summary, Daemon.Factory factory, PrintStream out, PrintStream err) {
        return new Launcher(program, summary, factory, out, err);
    }

    /**
     * Runs the daemon until the process receives a request to stop.
     *
     * @param arguments the command line
     * @return the exit code
     */
    public int run(String[] arguments) {
        // Libraries may log while the boot file is read; the file's format and level apply afterwards.
        LogSetup.configure("json", "warn");
        Options options = options();
        try {
            CommandLine line = new DefaultParser(false).parse(options, arguments);
            if (!line.getArgList().isEmpty()) {
                return usageError("unexpected argument " + line.getArgList().get(0));
            }
            if (line.hasOption("help")) {
                printHelp(options);
                return EXIT_OK;
            }
            if (line.hasOption("version")) {
                out.println(program + " " + version());
                return EXIT_OK;
            }
            if (!line.hasOption("config")) {
                return usageError("--config FILE is missing");
            }
            return runDaemon(line);
        } catch (ParseException e) {
            return usageError(e.getMessage());
        }
    }

    private int runDaemon(CommandLine line) {
        try {
            BootFile boot = BootFileReader.read(Path.of(line.getOptionValue("config")));
            LogSetup.configure(boot.logFormat(), boot.logLevel());
            Daemon daemon = factory.create(boot);
            if (line.hasOption("check")) {
                out.println(line.getOptionValue("config") + " is valid");
                return EXIT_OK;
            }
            return serve(daemon, boot);
        } catch (BootFileException e) {
            return usageError(e.getMessage());
        } catch (PollensillException e) {
            err.println(program + ": " + e.getMessage());
            return EXIT_FAILED;
        }
    }

    private int serve(Daemon daemon, BootFile boot) throws PollensillException {
        CountDownLatch stopped = new CountDownLatch(1);
        daemon.start();
        Runtime.getRuntime()
                .addShutdownHook(new Thread(
                        () -> {
                            LOG.log(RuntimeEvent.STOPPING, "program", program);
                            daemon.stop();
                            LOG.log(RuntimeEvent.STOPPED, "program", program);
                            stopped.countDown();
                        },
                        "shutdown"));
        LOG.log(RuntimeEvent.STARTED, "program", program, "host", boot.host(), "zone", boot.zone());
        try {
            stopped.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return EXIT_OK;
    }

    private int usageError(String problem) {
        err.println(program + ": " + problem + " (see --help)");
        return EXIT_USAGE;
    }

    private void printHelp(Options options) {
        out.println("usage: " + program + " --config FILE [--check]");
        out.println(summary);
        for (Option option : options.getOptions()) {
            String name = "--" + option.getLongOpt() + (option.hasArg() ? " " + option.getArgName() : "");
            out.printf("  %-16s %s%n", name, option.getDescription());
        }
    }

    private static Options options() {
        return new Options()
                .addOption(Option.builder()
                        .longOpt("config")
                        .hasArg()
                        .argName("FILE")
                        .desc("boot file, JSON with comments")
                        .get())
                .addOption(Option.builder()
                        .longOpt("check")
                        .desc("validate the boot file and exit")
                        .get())
                .addOption(Option.builder()
                        .longOpt("help")
                        .desc("print this text and exit")
                        .get())
                .addOption(Option.builder()
                        .longOpt("version")
                        .desc("print the version and exit")
                        .get());
    }

    /**
     * Returns the version of the running jar.
     *
     * @return the version
     */
    public static String version() {
        String version = Launcher.class.getPackage().getImplementationVersion();
        return version == null ? "development" : version;
    }
}
