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

/** Applies the differences between an edited file and the revision from which the file was written. */
final class ApplyAction implements SettingsAction {

    @Override
    public String usage() {
        return "settings apply FILE --reason TEXT [--base REVISION] [--dry-run]";
    }

    @Override
    public String summary() {
        return "apply the edits made to a file";
    }

    @Override
    public Options options() {
        return SettingsChanges.options().addOption(Session.flag("dry-run", "print the edits without applying them"));
    }

    @Override
    public int run(Session session) throws CommandException {
        String file = session.operands(1, 1).get(0);
        String text = session.readFile(file);
        SettingsTree edited = SettingsChanges.parseTree(file, text);
        AdminClient client = session.client();
        Optional<Long> base = session.number("base");
        if (base.isEmpty() && text.startsWith(SettingsChanges.REVISION_HEADER)) {
            String header = text.lines().findFirst().orElseThrow();
            base = Optional.of(session.number(
                    "revision in the first line of " + file,
                    header.substring(SettingsChanges.REVISION_HEADER.length()).strip()));
        }
        SettingsChanges.RevisionedTree current = SettingsChanges.readTree(client, base);
        List<Edit> edits = current.tree().diff(edited);
        if (edits.isEmpty()) {
            session.print(
                    SettingsChanges.MAPPER.createObjectNode().put("changed", false),
                    () -> session.out().println("nothing to change"));
            return ExitCode.OK;
        }
        if (session.hasFlag("dry-run")) {
            ObjectNode json = SettingsChanges.MAPPER.createObjectNode();
            json.putRawValue("edits", new RawValue(SettingsDelta.editsJson(edits)));
            session.print(json, () -> SettingsChanges.printEdits(session, current.tree(), edits));
            return ExitCode.OK;
        }
        if (!session.isJson()) {
            SettingsChanges.printEdits(session, current.tree(), edits);
        }
        return SettingsChanges.submit(
                session, client, "/settings/changes", SettingsChanges.requestBody(current.revision(), edits));
    }
}
