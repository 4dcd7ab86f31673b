package org.pollensill.cli.settings;

import org.apache.commons.cli.Options;
import org.pollensill.cli.ExitCode;
import org.pollensill.cli.admin.CommandException;
import org.pollensill.cli.admin.Session;
import org.pollensill.settings.InvalidSettingsException;
import org.pollensill.settings.Problem;
import org.pollensill.settings.SettingsTree;

/** Validates a settings file without contacting a daemon. */
final class ValidateAction implements SettingsAction {

    @Override
    public String usage() {
        return "settings validate FILE";
    }

    @Override
    public String summary() {
        return "validate a file and report all problems, without contacting a daemon";
    }

    @Override
    public Options options() {
        return new Options();
    }

    @Override
    public int run(Session session) throws CommandException {
        String file = session.operands(1, 1).get(0);
        String text = session.readFile(file);
        var json = SettingsChanges.MAPPER.createObjectNode();
        var problems = json.putArray("problems");
        try {
            SettingsTree.parse(text);
        } catch (InvalidSettingsException e) {
            for (Problem problem : e.problems()) {
                problems.addObject()
                        .put("path", problem.path())
                        .put("value", problem.value())
                        .put("message", problem.message())
                        .put("nearest", problem.nearest().orElse(""));
            }
            session.print(json, () -> e.problems().forEach(session.out()::println));
            return ExitCode.REFUSED;
        }
        session.print(json, () -> session.out().println(file + " is valid"));
        return ExitCode.OK;
    }
}
