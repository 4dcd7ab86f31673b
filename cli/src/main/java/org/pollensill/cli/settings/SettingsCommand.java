package org.pollensill.cli.settings;

import java.io.PrintStream;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.pollensill.cli.Command;
import org.pollensill.cli.ExitCode;
import org.pollensill.cli.admin.Session;

/** {@code pollensill settings}: reads and changes the settings tree. */
public final class SettingsCommand implements Command {

    private final Map<String, SettingsAction> actions = new LinkedHashMap<>();

    /** Creates the command. */
    public SettingsCommand() {
        actions.put("get", new GetAction());
        actions.put("set", new SetAction());
        actions.put("edit", new EditAction());
        actions.put("apply", new ApplyAction());
        actions.put("diff", new DiffAction());
        actions.put("history", new HistoryAction());
        actions.put("rollback", new RollbackAction());
        actions.put("validate", new ValidateAction());
        actions.put("effective", new EffectiveAction());
        actions.put("status", new StatusAction());
    }

    @Override
    public String name() {
        return "settings";
    }

    @Override
    public String summary() {
        return "read and change the settings tree: " + String.join("|", actions.keySet());
    }

    @Override
    public int run(List<String> arguments, PrintStream out, PrintStream err) {
        if (arguments.size() == 1 && arguments.get(0).equals("--help")) {
            out.println("usage: pollensill settings ACTION [ARGUMENTS]");
            actions.values().forEach(action -> out.printf("  %-60s %s%n", action.usage(), action.summary()));
            return ExitCode.OK;
        }
        String actionName = arguments.isEmpty() ? "" : arguments.get(0);
        SettingsAction action = actions.get(actionName);
        if (action == null) {
            err.println("pollensill: " + (actionName.isEmpty() ? "no action given" : "unknown action " + actionName)
                    + "; usage: pollensill settings " + String.join("|", actions.keySet()));
            return ExitCode.USAGE;
        }
        return Session.run(
                action.usage(), action.options(), arguments.subList(1, arguments.size()), out, err, action::run);
    }
}
