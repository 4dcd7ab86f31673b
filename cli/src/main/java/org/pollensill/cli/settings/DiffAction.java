package org.pollensill.cli.settings;

import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.util.RawValue;
import org.apache.commons.cli.Options;
import org.pollensill.cli.ExitCode;
import org.pollensill.cli.admin.AdminClient;
import org.pollensill.cli.admin.CommandException;
import org.pollensill.cli.admin.Session;
import org.pollensill.settings.Edit;
import org.pollensill.settings.SettingsDelta;
import org.pollensill.settings.SettingsTree;

/** Prints the differences between two revisions, or between the current settings and a file. */
final class DiffAction implements SettingsAction {

    @Override
    public String usage() {
        return "settings diff [FROM [TO]] | settings diff FILE";
    }

    @Override
    public String summary() {
        return "print the differences between revisions, or between the current settings and a file";
    }

    @Override
    public Options options() {
        return new Options();
    }

    @Override
    public int run(Session session) throws CommandException {
        List<String> operands = session.operands(0, 2);
        AdminClient client = session.client();
        boolean isFile = operands.size() == 1 && !operands.get(0).matches("[0-9]+");
        SettingsChanges.RevisionedTree to = SettingsChanges.readTree(
                client, operands.size() == 2 ? Optional.of(session.number("TO", operands.get(1))) : Optional.empty());
        SettingsTree before;
        SettingsTree after;
        if (isFile) {
            before = to.tree();
            after = SettingsChanges.parseTree(operands.get(0), session.readFile(operands.get(0)));
        } else {
            long from = operands.isEmpty() ? Math.max(0, to.revision() - 1) : session.number("FROM", operands.get(0));
            before = SettingsChanges.readTree(client, Optional.of(from)).tree();
            after = to.tree();
        }
        List<Edit> edits = before.diff(after);
        ObjectNode json = SettingsChanges.MAPPER.createObjectNode();
        json.putRawValue("edits", new RawValue(SettingsDelta.editsJson(edits)));
        session.print(json, () -> SettingsChanges.printEdits(session, before, edits));
        return ExitCode.OK;
    }
}
