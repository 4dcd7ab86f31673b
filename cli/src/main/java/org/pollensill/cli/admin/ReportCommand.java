package org.pollensill.cli.admin;

import java.io.PrintStream;
import java.util.List;

import org.apache.commons.cli.Options;
import org.pollensill.cli.Command;
import org.pollensill.cli.ExitCode;

/** {@code pollensill report}: prints the report on error-budget burn as text, JSON or a self-contained HTML page. */
public final class ReportCommand implements Command {

    /** Creates the command. */
    public ReportCommand() {}

    @Override
    public String name() {
        return "report";
    }

    @Override
    public String summary() {
        return "print the report on error-budget burn: report burn [--output html]";
    }

    @Override
    public int run(List<String> arguments, PrintStream out, PrintStream err) {
        return Session.run(
                "report burn [--output text|json|html]",
                List.of("text", "json", "html"),
                new Options(),
                arguments,
                out,
                err,
                session -> {
                    List<String> operands = session.operands(1, 1);
                    if (!operands.get(0).equals("burn")) {
                        throw session.usageError("unknown report " + operands.get(0));
                    }
                    String format = session.value("output").orElse("text");
                    out.println(
                            session.client().getText("/burn?format=" + format).stripTrailing());
                    return ExitCode.OK;
                });
    }
}
