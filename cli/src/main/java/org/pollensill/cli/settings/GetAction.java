package org.pollensill.cli.settings;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import org.apache.commons.cli.Options;
import org.pollensill.cli.ExitCode;
import org.pollensill.cli.admin.CommandException;
import org.pollensill.cli.admin.Session;

/** Prints the settings tree or a subtree. */
final class GetAction implements SettingsAction {

    @Override
    public String usage() {
        return "settings get [PATH] [--revision REVISION]";
    }

    @Override
    public String summary() {
        return "print the settings tree or a subtree";
    }

    @Override
    public Options options() {
        return new Options().addOption(Session.option("revision", "REVISION", "revision to read (default: current)"));
    }

    @Override
    public int run(Session session) throws CommandException {
        List<String> operands = session.operands(0, 1);
        String path = operands.isEmpty() ? "" : operands.get(0);
        String query = "/settings?path=" + URLEncoder.encode(path, StandardCharsets.UTF_8)
                + session.number("revision").map(r -> "&revision=" + r).orElse("");
        JsonNode result = session.client().get(query);
        if (!result.has("value")) {
            throw new CommandException(
                    ExitCode.REFUSED, "revision " + result.path("revision").asLong() + " has no value at " + path);
        }
        session.print(result, () -> session.out().println(SettingsChanges.pretty(result.get("value"))));
        return ExitCode.OK;
    }
}
