package org.pollensill.cli.job;

import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.pollensill.cli.Command;
import org.pollensill.cli.ExitCode;

/** {@code pollensill job}: submits, lists, shows, cancels and waits for jobs. */
public final class JobCommand implements Command {

    private static final long POLL_INTERVAL_MS = 200;
    private static final String USAGE = """
            usage: pollensill job submit FILE | list | show ID | cancel ID | wait ID [OPTIONS]
              submit FILE             submits a job (JSON with comments); a known key returns the existing job
              list                    lists jobs, latest first; options: --team NAME, --limit N (default: 100)
              show ID                 shows a job
              cancel ID               cancels a job; after success none of its tasks starts
              wait ID                 waits until a job has ended; exit code 1 if it ended without finishing
            """;

    private final Map<String, String> environment;

    /** Creates the command with the environment of the process. */
    public JobCommand() {
        this(System.getenv());
    }

    JobCommand(Map<String, String> environment) {
        this.environment = Map.copyOf(Objects.requireNonNull(environment, "environment is null"));
    }

    @Override
    public String name() {
        return "job";
    }

    @Override
    public String summary() {
        return "submit, list, show, cancel and wait for jobs";
    }

    @Override
    public int run(List<String> arguments, PrintStream out, PrintStream err) {
        if (arguments.contains("--help")) {
            out.print(USAGE);
            out.println(CallOptions.HELP);
            return ExitCode.OK;
        }
        try {
            CallOptions options = CallOptions.parse(arguments, environment);
            try (SchedulerClient client = new SchedulerClient(options)) {
                return run(options, client, out);
            }
        } catch (CallException e) {
            e.getMessage().lines().forEach(line -> err.println("pollensill job: " + line));
            return e.exitCode();
        }
    }

    private int run(CallOptions options, SchedulerClient client, PrintStream out) throws CallException {
        String action = operand(options, 0, "action (submit, list, show, cancel or wait)");
        int maxOperands = action.equals("list") ? 1 : 2;
        if (options.operands().size() > maxOperands) {
            throw CallOptions.usageError(
                    "unexpected argument " + options.operands().get(maxOperands));
        }
        return switch (action) {
            case "submit" -> submit(options, client, out);
            case "list" -> list(options, client, out);
            case "show" -> {
                print(client.call("GET", "/jobs/" + id(options), new byte[0]), options, out);
                yield ExitCode.OK;
            }
            case "cancel" -> cancel(options, client, out);
            case "wait" -> await(options, client, out);
            default -> throw CallOptions.usageError("unknown action " + action);
        };
    }

    private int submit(CallOptions options, SchedulerClient client, PrintStream out) throws CallException {
        String file = operand(options, 1, "FILE");
        byte[] content;
        try {
            content = file.equals("-") ? System.in.readAllBytes() : Files.readAllBytes(Path.of(file));
        } catch (IOException e) {
            throw CallOptions.usageError("job file " + file + " could not be read");
        }
        print(client.call("POST", "/jobs", content), options, out);
        return ExitCode.OK;
    }

    private int cancel(CallOptions options, SchedulerClient client, PrintStream out) throws CallException {
        JsonNode job = client.call("POST", "/jobs/" + id(options) + "/cancel", new byte[0]);
        print(job, options, out);
        return job.path("cancelling").asBoolean() ? ExitCode.TIMEOUT : ExitCode.OK;
    }

    /** Lists the jobs of all shards; each scheduler returns only the jobs of its own shards. */
    private int list(CallOptions options, SchedulerClient client, PrintStream out) throws CallException {
        String uri =
                "/jobs?limit=" + options.limit() + "&team=" + URLEncoder.encode(options.team(), StandardCharsets.UTF_8);
        ArrayNode jobs = SchedulerClient.MAPPER.createArrayNode();
        CallException lastFailure = null;
        int responseCount = 0;
        for (InetSocketAddress server : options.servers()) {
            try {
                client.getFrom(server, uri).path("jobs").forEach(jobs::add);
                responseCount++;
            } catch (CallException e) {
                lastFailure = e;
            }
        }
        if (responseCount == 0) {
            throw lastFailure;
        }
        if (options.json()) {
            ObjectNode result = SchedulerClient.MAPPER.createObjectNode();
            result.set("jobs", jobs);
            out.println(result);
        } else {
            jobs.forEach(job -> out.println(summaryLine(job)));
        }
        return ExitCode.OK;
    }

    private int await(CallOptions options, SchedulerClient client, PrintStream out) throws CallException {
        long deadlineNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(options.timeoutMs());
        String uri = "/jobs/" + id(options);
        while (true) {
            try {
                JsonNode job = client.call("GET", uri, new byte[0]);
                String state = job.path("state").asText();
                if (!state.equals("active")) {
                    print(job, options, out);
                    return state.equals("finished") ? ExitCode.OK : ExitCode.REFUSED;
                }
            } catch (CallException e) {
                // The wait continues while a shard moves or the store is unavailable.
                if (e.exitCode() != ExitCode.UNAVAILABLE) {
                    throw e;
                }
            }
            if (System.nanoTime() - deadlineNs >= 0) {
                throw new CallException(ExitCode.TIMEOUT, "job " + id(options) + " did not end within --timeout-ms");
            }
            try {
                Thread.sleep(POLL_INTERVAL_MS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new CallException(ExitCode.TIMEOUT, "interrupted while waiting for the job");
            }
        }
    }

    private static String id(CallOptions options) throws CallException {
        String id = operand(options, 1, "ID");
        if (!id.matches("[A-Za-z0-9._-]+")) {
            throw CallOptions.usageError("'" + id + "' is not a valid job ID; use letters, digits, '.', '_' and '-'");
        }
        return id;
    }

    private static String operand(CallOptions options, int index, String description) throws CallException {
        if (options.operands().size() <= index) {
            throw CallOptions.usageError(description + " is missing");
        }
        return options.operands().get(index);
    }

    private static void print(JsonNode job, CallOptions options, PrintStream out) {
        out.println(options.json() ? job.toString() : summaryLine(job));
    }

    private static String summaryLine(JsonNode job) {
        String reason = job.path("reason").asText();
        return job.path("id").asText() + " " + job.path("state").asText() + " key="
                + job.path("key").asText()
                + " team=" + job.path("team").asText() + " tasks=" + job.path("tasks") + " queued="
                + job.path("queued") + " placed=" + job.path("placed") + " ended=" + job.path("ended")
                + (reason.isEmpty() ? "" : " (" + reason + ")");
    }
}
