package org.pollensill.cli.config;

import java.io.PrintStream;
import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import org.apache.commons.cli.Options;
import org.pollensill.adapter.DraftCodec;
import org.pollensill.cli.Command;
import org.pollensill.cli.ExitCode;
import org.pollensill.cli.admin.CommandException;
import org.pollensill.cli.admin.Session;
import org.pollensill.configuration.ConfigurationCheck;
import org.pollensill.configuration.Draft;
import org.pollensill.configuration.Finding;
import org.pollensill.json.JsonSyntaxException;

/**
 * {@code pollensill config check}: checks a configuration before it is sent. With an error, an entry that can never match
 * or a contradiction it exits with 1.
 */
public final class ConfigCommand implements Command {

    private static final String USAGE = "config check FILE [--in-force FILE]";

    /** Creates the command. */
    public ConfigCommand() {}

    @Override
    public String name() {
        return "config";
    }

    @Override
    public String summary() {
        return "check a configuration before it is sent: " + USAGE;
    }

    @Override
    public int run(List<String> arguments, PrintStream out, PrintStream err) {
        Options options = new Options()
                .addOption(Session.option("in-force", "FILE", "the configuration in force, to show what differs"));
        return Session.run(USAGE, options, arguments, out, err, session -> {
            List<String> operands = session.operands(2, 2);
            if (!operands.get(0).equals("check")) {
                throw session.usageError("unknown action " + operands.get(0));
            }
            Draft draft = read(session, operands.get(1));
            Optional<String> file = session.value("in-force");
            Optional<Draft> inForce = file.isEmpty() ? Optional.empty() : Optional.of(read(session, file.get()));
            List<Finding> findings = ConfigurationCheck.check(draft, inForce);
            ArrayNode json = JsonNodeFactory.instance.arrayNode();
            findings.forEach(finding -> json.addObject()
                    .put("kind", finding.kind().name())
                    .put("subject", finding.subject())
                    .put("text", finding.text()));
            session.print(json, () -> findings.forEach(out::println));
            boolean sound = findings.stream().allMatch(finding -> finding.kind() == Finding.Kind.DIFFERENCE);
            return sound ? ExitCode.OK : ExitCode.REFUSED;
        });
    }

    private static Draft read(Session session, String file) throws CommandException {
        try {
            return DraftCodec.decode(session.readFile(file));
        } catch (JsonSyntaxException e) {
            throw new CommandException(ExitCode.REFUSED, file + ": " + e.getMessage());
        }
    }
}
