package org.pollensill.cli.admin;

import java.io.PrintStream;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import org.apache.commons.cli.Options;
import org.pollensill.cli.Command;
import org.pollensill.cli.ExitCode;

/**
 * {@code pollensill host}: declares a host gone, so that its slices are taken over without waiting for proof that its
 * process has ended.
 */
public final class HostCommand implements Command {

    /** Creates the command. */
    public HostCommand() {}

    @Override
    public String name() {
        return "host";
    }

    @Override
    public String summary() {
        return "declare gone a host on which no process runs: host gone NAME";
    }

    @Override
    public int run(List<String> arguments, PrintStream out, PrintStream err) {
        return Session.run("host gone NAME", new Options(), arguments, out, err, session -> {
            List<String> operands = session.operands(2, 2);
            if (!operands.get(0).equals("gone")) {
                throw session.usageError("unknown action " + operands.get(0));
            }
            // A daemon accepts this only for hosts in the view of its own zone.
            List<JsonNode> responses = session.client()
                    .postAll(
                            "/hosts/" + URLEncoder.encode(operands.get(1), StandardCharsets.UTF_8) + "/gone",
                            JsonNodeFactory.instance.objectNode().put("host", operands.get(1)));
            session.print(
                    responses.get(0),
                    () -> out.println(operands.get(1) + " is declared gone at " + responses.size() + " daemons"));
            return ExitCode.OK;
        });
    }
}
