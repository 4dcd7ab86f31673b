package org.pollensill.cli;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.ServiceLoader;
import java.util.TreeMap;

/** Main class of {@code bin/pollensill}. Commands are loaded as services of type {@link Command}. */
public final class Main {

    private final TreeMap<String, Command> commands = new TreeMap<>();

    /**
     * Creates the dispatcher.
     *
     * @param commands the commands
     */
    Main(Iterable<Command> commands) {
        Objects.requireNonNull(commands, "commands is null");
        for (Command command : commands) {
            this.commands.put(command.name(), command);
        }
    }

    /**
     * Runs a command and exits the process with its exit code.
     *
     * @param arguments the command-line arguments
     */
    public static void main(String[] arguments) {
        PrintStream out = new PrintStream(System.out, true, StandardCharsets.UTF_8);
        PrintStream err = new PrintStream(System.err, true, StandardCharsets.UTF_8);
        int code = new Main(ServiceLoader.load(Command.class)).run(Arrays.asList(arguments), out, err);
        out.flush();
        err.flush();
        System.exit(code);
    }

    /** Runs the command that the first argument selects. */
    int run(List<String> arguments, PrintStream out, PrintStream err) {
        if (arguments.isEmpty()) {
            err.println("pollensill: no command given; see pollensill --help");
            return ExitCode.USAGE;
        }
        String commandName = arguments.get(0);
        if (commandName.equals("--help") || commandName.equals("help")) {
            printHelp(out);
            return ExitCode.OK;
        }
        if (commandName.equals("--version")) {
            String version = Optional.ofNullable(Main.class.getPackage().getImplementationVersion())
                    .orElse("0.1.0-SNAPSHOT");
            out.println("pollensill " + version);
            return ExitCode.OK;
        }
        Command command = commands.get(commandName);
        if (command == null) {
            err.println("pollensill: unknown command " + commandName + "; see pollensill --help");
            return ExitCode.USAGE;
        }
        return command.run(arguments.subList(1, arguments.size()), out, err);
    }

    private void printHelp(PrintStream out) {
        out.println("usage: pollensill COMMAND [ARGUMENTS]");
        out.println();
        for (Command command : commands.values()) {
            out.printf("  %-10s %s%n", command.name(), command.summary());
        }
        out.println();
        out.println("Run a command with --help for its usage.");
    }
}
