package org.pollensill.cli.admin;

import javax.net.ssl.SSLContext;
import javax.net.ssl.TrustManagerFactory;

import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.KeyStore;
import java.security.cert.Certificate;
import java.security.cert.CertificateFactory;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.pollensill.cli.ExitCode;
import org.pollensill.runtime.boot.BootFileException;
import org.pollensill.runtime.boot.BootFileReader;
import org.pollensill.runtime.net.Addresses;

/** An execution of a command: its parsed options, its output streams and the daemons to call. */
public final class Session {

    private final String usage;
    private final CommandLine line;
    private final PrintStream out;
    private final PrintStream err;

    private Session(String usage, CommandLine line, PrintStream out, PrintStream err) {
        this.usage = usage;
        this.line = line;
        this.out = out;
        this.err = err;
    }

    /** The action of a command, executed after its options have been parsed. */
    @FunctionalInterface
    public interface Action {

        /**
         * Executes the action.
         *
         * @param session the execution
         * @return the exit code
         * @throws CommandException if the command fails
         */
        int run(Session session) throws CommandException;
    }

    /**
     * Parses the options and executes the action; a failure is reported as an error message and an exit code.
     *
     * @param usage the usage line without the program name
     * @param commandOptions the options specific to the command
     * @param arguments the arguments after the command name
     * @param out the stream for results
     * @param err the stream for error messages
     * @param action the action
     * @return the exit code
     */
    public static int run(
            String usage,
            Options commandOptions,
            List<String> arguments,
            PrintStream out,
            PrintStream err,
            Action action) {
        return run(usage, List.of("text", "json"), commandOptions, arguments, out, err, action);
    }

    /** Like the public overload, for a command with other output formats than text and JSON. */
    static int run(
            String usage,
            List<String> formats,
            Options commandOptions,
            List<String> arguments,
            PrintStream out,
            PrintStream err,
            Action action) {
        Objects.requireNonNull(usage, "usage is null");
        Options options = commonOptions();
        commandOptions.getOptions().forEach(options::addOption);
        try {
            CommandLine line = DefaultParser.builder()
                    .setAllowPartialMatching(false)
                    .get()
                    .parse(options, arguments.toArray(new String[0]));
            if (line.hasOption("help")) {
                printHelp(usage, options, out);
                return ExitCode.OK;
            }
            Session session = new Session(usage, line, out, err);
            if (!formats.contains(line.getOptionValue("output", "text"))) {
                throw session.usageError("unsupported --output format: " + line.getOptionValue("output"));
            }
            return action.run(session);
        } catch (ParseException e) {
            err.println("pollensill: " + e.getMessage() + "; usage: pollensill " + usage);
            return ExitCode.USAGE;
        } catch (CommandException e) {
            err.println("pollensill: " + e.getMessage());
            return e.exitCode();
        }
    }

    private static Options commonOptions() {
        return new Options()
                .addOption(option(
                        "admin",
                        "ADDRESS",
                        "addresses of admin listeners, separated by commas (default: POLLENSILL_ADMIN)"))
                .addOption(option("config", "FILE", "boot file of a daemon, to read its admin address from"))
                .addOption(
                        option("token-file", "FILE", "file with the operator token (default: POLLENSILL_TOKEN_FILE)"))
                .addOption(option("ca", "FILE", "PEM file of CA certificates to trust for https addresses"))
                .addOption(option("output", "FORMAT", "output format: text or json"))
                .addOption(flag("help", "print this help text"));
    }

    /**
     * Creates an option with a value.
     *
     * @param name the long option name
     * @param argument the name of the value in the help text
     * @param description the description
     * @return the option
     */
    public static Option option(String name, String argument, String description) {
        return Option.builder()
                .longOpt(name)
                .hasArg()
                .argName(argument)
                .desc(description)
                .get();
    }

    /**
     * Creates an option without a value.
     *
     * @param name the long option name
     * @param description the description
     * @return the option
     */
    public static Option flag(String name, String description) {
        return Option.builder().longOpt(name).desc(description).get();
    }

    private static void printHelp(String usage, Options options, PrintStream out) {
        out.println("usage: pollensill " + usage);
        for (Option option : options.getOptions()) {
            String name = "--" + option.getLongOpt() + (option.hasArg() ? " " + option.getArgName() : "");
            out.printf("  %-20s %s%n", name, option.getDescription());
        }
    }

    /**
     * Returns the stream for results.
     *
     * @return the stream
     */
    public PrintStream out() {
        return out;
    }

    /**
     * Returns the stream for messages that are not results.
     *
     * @return the stream
     */
    public PrintStream err() {
        return err;
    }

    /**
     * Returns whether results are printed as JSON.
     *
     * @return whether {@code --output json} is given
     */
    public boolean isJson() {
        return line.getOptionValue("output", "text").equals("json");
    }

    /**
     * Prints a result as JSON if {@code --output json} is given, otherwise by calling the given printer.
     *
     * @param json the result
     * @param textPrinter prints the result as text
     */
    public void print(JsonNode json, Runnable textPrinter) {
        if (isJson()) {
            out.println(json);
        } else {
            textPrinter.run();
        }
    }

    /**
     * Returns the value of an option.
     *
     * @param name the long option name
     * @return the value, empty if the option is not given
     */
    public Optional<String> value(String name) {
        return Optional.ofNullable(line.getOptionValue(name));
    }

    /**
     * Returns the value of an option that is a whole number.
     *
     * @param name the long option name
     * @return the number, empty if the option is not given
     * @throws CommandException if the value is not a whole number
     */
    public Optional<Long> number(String name) throws CommandException {
        Optional<String> text = value(name);
        return text.isEmpty() ? Optional.empty() : Optional.of(number(name, text.get()));
    }

    /**
     * Parses a whole number.
     *
     * @param name the name of the value for error messages
     * @param text the text
     * @return the number
     * @throws CommandException if the text is not a whole number
     */
    public long number(String name, String text) throws CommandException {
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            throw usageError(name + " must be a whole number, got " + text);
        }
    }

    /**
     * Returns whether a flag is given.
     *
     * @param name the long option name
     * @return whether the flag is given
     */
    public boolean hasFlag(String name) {
        return line.hasOption(name);
    }

    /**
     * Returns the operands, the arguments that are not options.
     *
     * @param min the minimum number of operands
     * @param max the maximum number of operands
     * @return the operands
     * @throws CommandException if the number of operands is out of range
     */
    public List<String> operands(int min, int max) throws CommandException {
        List<String> operands = line.getArgList();
        if (operands.size() < min || operands.size() > max) {
            throw usageError(
                    "expected " + (min == max ? "" + min : min + " to " + max) + " operands, got " + operands.size());
        }
        return operands;
    }

    /**
     * Returns an exception for incorrect usage.
     *
     * @param problem the description of the mistake
     * @return the exception
     */
    public CommandException usageError(String problem) {
        return new CommandException(ExitCode.USAGE, problem + "; usage: pollensill " + usage);
    }

    /**
     * Returns a client for the daemons given by the options or the environment.
     *
     * @return the client
     * @throws CommandException if no address is given or a file cannot be read
     */
    public AdminClient client() throws CommandException {
        Optional<String> admin = value("admin").or(() -> Optional.ofNullable(System.getenv("POLLENSILL_ADMIN")));
        if (admin.isEmpty() && value("config").isPresent()) {
            try {
                admin = Optional.of(Addresses.format(
                        BootFileReader.read(Path.of(value("config").get())).adminAddress()));
            } catch (BootFileException e) {
                throw new CommandException(ExitCode.REFUSED, e.getMessage());
            }
        }
        if (admin.isEmpty()) {
            throw usageError("no daemon address given by --admin, POLLENSILL_ADMIN or --config");
        }
        Optional<String> tokenFile =
                value("token-file").or(() -> Optional.ofNullable(System.getenv("POLLENSILL_TOKEN_FILE")));
        Optional<String> token = Optional.empty();
        if (tokenFile.isPresent()) {
            token = Optional.of(readFile(tokenFile.get()).strip());
        }
        return new AdminClient(List.of(admin.get().split(",")), token, tlsContext());
    }

    /**
     * Reads a file.
     *
     * @param file the path of the file
     * @return the content
     * @throws CommandException if it cannot be read
     */
    public String readFile(String file) throws CommandException {
        try {
            return Files.readString(Path.of(file));
        } catch (IOException e) {
            throw new CommandException(ExitCode.REFUSED, "cannot read " + file + ": " + e.getMessage());
        }
    }

    private Optional<SSLContext> tlsContext() throws CommandException {
        if (value("ca").isEmpty()) {
            return Optional.empty();
        }
        Path file = Path.of(value("ca").get());
        try (InputStream pemStream = Files.newInputStream(file)) {
            KeyStore trustStore = KeyStore.getInstance(KeyStore.getDefaultType());
            trustStore.load(null, null);
            int count = 0;
            for (Certificate certificate :
                    CertificateFactory.getInstance("X.509").generateCertificates(pemStream)) {
                trustStore.setCertificateEntry("ca" + count++, certificate);
            }
            TrustManagerFactory trustManagers =
                    TrustManagerFactory.getInstance(TrustManagerFactory.getDefaultAlgorithm());
            trustManagers.init(trustStore);
            SSLContext context = SSLContext.getInstance("TLS");
            context.init(null, trustManagers.getTrustManagers(), null);
            return Optional.of(context);
        } catch (IOException | GeneralSecurityException e) {
            throw new CommandException(
                    ExitCode.REFUSED, "cannot load CA certificates from " + file + ": " + e.getMessage());
        }
    }
}
