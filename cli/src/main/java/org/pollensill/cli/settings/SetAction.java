package org.pollensill.cli.settings;

import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.node.TextNode;
import org.apache.commons.cli.Options;
import org.pollensill.cli.ExitCode;
import org.pollensill.cli.admin.AdminClient;
import org.pollensill.cli.admin.CommandException;
import org.pollensill.cli.admin.Session;
import org.pollensill.settings.Edit;
import org.pollensill.settings.InvalidSettingsException;
import org.pollensill.settings.SettingsPath;

/** Sets or removes the value of a path. */
final class SetAction implements SettingsAction {

    @Override
    public String usage() {
        return "settings set PATH VALUE --reason TEXT | settings set PATH --remove --reason TEXT";
    }

    @Override
    public String summary() {
        return "set or remove the value of a path";
    }

    @Override
    public Options options() {
        return SettingsChanges.options().addOption(Session.flag("remove", "remove the value of the path"));
    }

    @Override
    public int run(Session session) throws CommandException {
        boolean remove = session.hasFlag("remove");
        List<String> operands = remove ? session.operands(1, 1) : session.operands(2, 2);
        if (session.value("reason").isEmpty()) {
            throw session.usageError("--reason is required");
        }
        SettingsPath path;
        try {
            path = SettingsPath.parse(operands.get(0));
        } catch (InvalidSettingsException e) {
            throw new CommandException(ExitCode.REFUSED, e.getMessage());
        }
        Edit edit = remove ? Edit.remove(path) : Edit.set(path, toJson(operands.get(1)));
        AdminClient client = session.client();
        long baseRevision = session.number("base").isPresent()
                ? session.number("base").get()
                : client.get("/settings?path=regions.none").path("revision").asLong();
        return SettingsChanges.submit(
                session, client, "/settings/changes", SettingsChanges.requestBody(baseRevision, List.of(edit)));
    }

    /** Returns the operand as JSON. Text that is not valid JSON becomes a JSON string, so that names need no quotes. */
    private static String toJson(String text) {
        try {
            SettingsChanges.MAPPER.readTree(text);
            return text;
        } catch (JsonProcessingException e) {
            return TextNode.valueOf(text).toString();
        }
    }
}
