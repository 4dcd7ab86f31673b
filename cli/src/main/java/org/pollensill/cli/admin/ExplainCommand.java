package org.pollensill.cli.admin;

import java.io.PrintStream;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import org.apache.commons.cli.Options;
import org.pollensill.cli.Command;
import org.pollensill.cli.ExitCode;

/** {@code pollensill explain}: shows how a request was handled. */
public final class ExplainCommand implements Command {

    /** Creates the command. */
    public ExplainCommand() {}

    @Override
    public String name() {
        return "explain";
    }

    @Override
    public String summary() {
        return "explain how a request was handled: explain request ID";
    }

    @Override
    public int run(List<String> arguments, PrintStream out, PrintStream err) {
        return Session.run("explain request ID", new Options(), arguments, out, err, session -> {
            List<String> operands = session.operands(2, 2);
            if (!operands.get(0).equals("request")) {
                throw session.usageError("unknown object " + operands.get(0));
            }
            JsonNode explanation =
                    session.client().get("/requests/" + URLEncoder.encode(operands.get(1), StandardCharsets.UTF_8));
            session.print(explanation, () -> TextTable.outline(out, explanation));
            return ExitCode.OK;
        });
    }
}
