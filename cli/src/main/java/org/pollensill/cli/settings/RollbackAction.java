package org.pollensill.cli.settings;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.apache.commons.cli.Options;
import org.pollensill.cli.admin.CommandException;
import org.pollensill.cli.admin.Session;

/** Restores the tree of an earlier revision as a new revision. */
final class RollbackAction implements SettingsAction {

    @Override
    public String usage() {
        return "settings rollback REVISION --reason TEXT";
    }

    @Override
    public String summary() {
        return "restore the tree of an earlier revision as a new revision";
    }

    @Override
    public Options options() {
        return SettingsChanges.options();
    }

    @Override
    public int run(Session session) throws CommandException {
        long targetRevision = session.number("REVISION", session.operands(1, 1).get(0));
        if (session.value("reason").isEmpty()) {
            throw session.usageError("--reason is required");
        }
        ObjectNode body = SettingsChanges.MAPPER.createObjectNode().put("toRevision", targetRevision);
        return SettingsChanges.submit(session, session.client(), "/settings/rollback", body);
    }
}
