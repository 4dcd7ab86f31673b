package org.pollensill.cli.job;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.pollensill.cli.ExitCode;
import org.pollensill.runtime.event.LogSetup;
import org.pollensill.runtime.net.AddressException;
import org.pollensill.runtime.net.Addresses;

/**
 * Options shared by all commands for jobs and tasks.
 *
 * @param operands the arguments that are not options
 * @param servers the scheduler addresses, in the order in which they are tried
 * @param token the operator token, empty for none
 * @param json whether results are printed as JSON
 * @param team the team whose jobs are listed, empty for all teams
 * @param limit the maximum number of jobs to list
 * @param timeoutMs the maximum wait in milliseconds
 */
record CallOptions(
        List<String> operands,
        List<InetSocketAddress> servers,
        String token,
        boolean json,
        String team,
        int limit,
        long timeoutMs) {

    static final String HELP = """
              --server IP:PORT[,...]  admin addresses of schedulers (default: POLLENSILL_SCHEDULERS)
              --token-file FILE       file with the operator token (default: POLLENSILL_TOKEN_FILE)
              --output text|json      output format (default: text)
              --timeout-ms N          maximum wait in milliseconds (default: 60000)
            exit codes: 0 success, 1 refused, 2 incorrect usage, 3 key taken by another job, 4 no effect because no
            scheduler or store responded, 5 outcome unknown (repeat with the same key), 6 wait timed out""";

    private static final int DEFAULT_LIMIT = 100;
    private static final long DEFAULT_TIMEOUT_MS = 60_000;

    static CallOptions parse(List<String> arguments, Map<String, String> environment) throws CallException {
        // Libraries log errors only, so that the streams contain only the output of the command.
        LogSetup.configure("text", "error");
        CommandLine line;
        try {
            line = new DefaultParser(false).parse(options(), arguments.toArray(new String[0]));
        } catch (ParseException e) {
            throw usageError(e.getMessage());
        }
        String output = line.getOptionValue("output", "text");
        if (!output.equals("text") && !output.equals("json")) {
            throw usageError("--output must be text or json, got " + output);
        }
        return new CallOptions(
                List.copyOf(line.getArgList()),
                servers(line.getOptionValue("server", environment.getOrDefault("POLLENSILL_SCHEDULERS", ""))),
                token(line.getOptionValue("token-file", environment.getOrDefault("POLLENSILL_TOKEN_FILE", ""))),
                output.equals("json"),
                line.getOptionValue("team", ""),
                (int) number(line, "limit", DEFAULT_LIMIT),
                number(line, "timeout-ms", DEFAULT_TIMEOUT_MS));
    }

    private static Options options() {
        return new Options()
                .addOption(Option.builder().longOpt("server").hasArg().get())
                .addOption(Option.builder().longOpt("token-file").hasArg().get())
                .addOption(Option.builder().longOpt("output").hasArg().get())
                .addOption(Option.builder().longOpt("team").hasArg().get())
                .addOption(Option.builder().longOpt("limit").hasArg().get())
                .addOption(Option.builder().longOpt("timeout-ms").hasArg().get());
    }

    private static List<InetSocketAddress> servers(String text) throws CallException {
        if (text.isEmpty()) {
            throw usageError("no scheduler address given by --server IP:PORT or POLLENSILL_SCHEDULERS");
        }
        List<InetSocketAddress> servers = new ArrayList<>();
        for (String server : text.split(",")) {
            try {
                servers.add(Addresses.parse(server.trim()));
            } catch (AddressException e) {
                throw usageError("--server: " + e.getMessage());
            }
        }
        return List.copyOf(servers);
    }

    private static String token(String file) throws CallException {
        if (file.isEmpty()) {
            return "";
        }
        try {
            return Files.readString(Path.of(file)).trim();
        } catch (IOException e) {
            throw usageError("token file " + file + " could not be read");
        }
    }

    private static long number(CommandLine line, String option, long defaultValue) throws CallException {
        String text = line.getOptionValue(option);
        if (text == null) {
            return defaultValue;
        }
        try {
            long number = Long.parseLong(text);
            if (number >= 0 && number <= Integer.MAX_VALUE) {
                return number;
            }
        } catch (NumberFormatException e) {
            // Reported below, together with numbers that are out of range.
        }
        throw usageError("--" + option + " must be a whole number from 0 to 2147483647, got " + text);
    }

    static CallException usageError(String message) {
        return new CallException(ExitCode.USAGE, message);
    }
}
