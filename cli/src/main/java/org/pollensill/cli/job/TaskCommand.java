package org.pollensill.cli.job;

import java.io.PrintStream;
import java.util.List;
import java.util.Map;
import java.util.Objects;

import com.fasterxml.jackson.databind.JsonNode;
import org.pollensill.cli.Command;
import org.pollensill.cli.ExitCode;

/** {@code pollensill task}: explains why a task is waiting, where it ran and why it was moved. */
public final class TaskCommand implements Command {

    private static final String USAGE = """
            usage: pollensill task explain ID [OPTIONS]
              explain ID              explains why a task (JOB/INDEX) is waiting, where it ran and why it was moved
            """;

    private final Map<String, String> environment;

    /** Creates the command with the environment of the process. */
    public TaskCommand() {
        this(System.getenv());
    }

    TaskCommand(Map<String, String> environment) {
        this.environment = Map.copyOf(Objects.requireNonNull(environment, "environment is null"));
    }

    @Override
    public String name() {
        return "task";
    }

    @Override
    public String summary() {
        return "explain where a task ran and what it is waiting for";
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
            List<String> operands = options.operands();
            if (operands.size() != 2 || !operands.get(0).equals("explain")) {
                throw CallOptions.usageError("expected: task explain ID");
            }
            if (!operands.get(1).matches("[A-Za-z0-9._-]+/[0-9]+")) {
                throw CallOptions.usageError(
                        "'" + operands.get(1) + "' is not a valid task ID; expected JOB/INDEX, such as j1-5/0");
            }
            try (SchedulerClient client = new SchedulerClient(options)) {
                print(client.call("GET", "/tasks/" + operands.get(1), new byte[0]), options, out);
            }
            return ExitCode.OK;
        } catch (CallException e) {
            e.getMessage().lines().forEach(line -> err.println("pollensill task: " + line));
            return e.exitCode();
        }
    }

    private static void print(JsonNode task, CallOptions options, PrintStream out) {
        if (options.json()) {
            out.println(task);
            return;
        }
        String worker = task.path("worker").asText();
        String checkpoint = task.path("resumeFrom").asText();
        String waitsFor = task.path("waitsFor").asText();
        out.println(task.path("id").asText() + " " + task.path("state").asText() + " attempt=" + task.path("attempt")
                + (worker.isEmpty() ? "" : " worker=" + worker)
                + (checkpoint.isEmpty() ? "" : " resumeFrom=" + checkpoint));
        if (!waitsFor.isEmpty()) {
            out.println("  waiting for: " + waitsFor);
        }
        task.path("history").forEach(entry -> out.println("  " + entry.asText()));
    }
}
