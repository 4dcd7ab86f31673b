package org.pollensill.cli.admin;

import java.io.PrintStream;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import org.apache.commons.cli.Options;
import org.pollensill.cli.Command;
import org.pollensill.cli.ExitCode;

/** {@code pollensill status}: shows the state that a daemon reports. */
public final class StatusCommand implements Command {

    /** Creates the command. */
    public StatusCommand() {}

    @Override
    public String name() {
        return "status";
    }

    @Override
    public String summary() {
        return "show the state of a daemon: view, upstreams, queues, shards";
    }

    @Override
    public int run(List<String> arguments, PrintStream out, PrintStream err) {
        return Session.run("status", new Options(), arguments, out, err, session -> {
            session.operands(0, 0);
            JsonNode status = session.client().get("/status");
            session.print(status, () -> TextTable.outline(out, status));
            return ExitCode.OK;
        });
    }
}
