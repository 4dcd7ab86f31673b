package org.pollensill.cli.settings;

import java.util.List;
import java.util.UUID;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.util.RawValue;
import org.apache.commons.cli.Options;
import org.pollensill.cli.ExitCode;
import org.pollensill.cli.admin.AdminClient;
import org.pollensill.cli.admin.CommandException;
import org.pollensill.cli.admin.Session;
import org.pollensill.settings.Edit;
import org.pollensill.settings.InvalidSettingsException;
import org.pollensill.settings.SettingsDelta;
import org.pollensill.settings.SettingsTree;

/** Helper methods shared by the actions that change settings. */
final class SettingsChanges {

    static final ObjectMapper MAPPER = new ObjectMapper();

    /** Start of the first line of an edited file; followed by the revision from which the file was written. */
    static final String REVISION_HEADER = "// pollensill settings, revision ";

    private static final int MAX_ATTEMPTS = 3;

    private SettingsChanges() {}

    static Options options() {
        return new Options()
                .addOption(
                        Session.option("reason", "TEXT", "reason for the change, recorded in the history (required)"))
                .addOption(Session.option("base", "REVISION", "revision on which the change is based"))
                .addOption(Session.option(
                        "id", "ID", "ID of the change; repeating a change with the same ID applies it once"));
    }

    /** A settings tree with its revision. */
    record RevisionedTree(long revision, SettingsTree tree) {}

    /** Reads the tree at the given revision, or the current tree. */
    static RevisionedTree readTree(AdminClient client, java.util.Optional<Long> revision) throws CommandException {
        JsonNode json =
                client.get("/settings" + revision.map(r -> "?revision=" + r).orElse(""));
        try {
            return new RevisionedTree(
                    json.path("revision").asLong(),
                    SettingsTree.committed(json.path("value").toString()));
        } catch (InvalidSettingsException e) {
            throw new CommandException(ExitCode.REFUSED, e.getMessage());
        }
    }

    static SettingsTree parseTree(String file, String text) throws CommandException {
        try {
            return SettingsTree.parse(text);
        } catch (InvalidSettingsException e) {
            throw new CommandException(ExitCode.REFUSED, file + " is not a valid settings tree:\n" + e.getMessage());
        }
    }

    /** Sends a change; if its outcome is unknown, retries with the same ID, so that it takes effect at most once. */
    static int submit(Session session, AdminClient client, String path, ObjectNode body) throws CommandException {
        String reason = session.value("reason").orElseThrow(() -> session.usageError("--reason is required"));
        String changeId = session.value("id").orElse(UUID.randomUUID().toString());
        body.put("reason", reason).put("changeId", changeId);
        for (int attempt = 1; ; attempt++) {
            try {
                JsonNode response = client.post(path, body);
                session.print(
                        response,
                        () -> session.out()
                                .println(
                                        response.path("changed").asBoolean(true)
                                                ? "revision "
                                                        + response.path("revision")
                                                                .asLong()
                                                : "nothing to change"));
                return ExitCode.OK;
            } catch (CommandException e) {
                if (e.exitCode() != ExitCode.UNKNOWN) {
                    throw e;
                }
                if (attempt == MAX_ATTEMPTS) {
                    throw new CommandException(
                            ExitCode.UNKNOWN, e.getMessage() + "; repeat the change with --id " + changeId);
                }
            }
        }
    }

    static ObjectNode requestBody(long baseRevision, List<Edit> edits) {
        ObjectNode body = MAPPER.createObjectNode().put("baseRevision", baseRevision);
        body.putRawValue("edits", new RawValue(SettingsDelta.editsJson(edits)));
        return body;
    }

    static JsonNode parseJson(String text) throws CommandException {
        try {
            return MAPPER.readTree(text);
        } catch (JsonProcessingException e) {
            throw new CommandException(ExitCode.REFUSED, "invalid JSON: " + e.getOriginalMessage());
        }
    }

    static String pretty(JsonNode json) {
        return json.toPrettyString();
    }

    /** Prints each edit together with the value that it replaces. */
    static void printEdits(Session session, SettingsTree before, List<Edit> edits) {
        for (Edit edit : edits) {
            before.get(edit.path())
                    .ifPresent(old -> session.out().println("- " + edit.path() + " = " + Edit.shown(old)));
            edit.value().ifPresent(value -> session.out().println("+ " + edit.path() + " = " + Edit.shown(value)));
        }
    }
}
