package org.pollensill.cli.settings;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.apache.commons.cli.Options;
import org.pollensill.cli.ExitCode;
import org.pollensill.cli.admin.AdminClient;
import org.pollensill.cli.admin.CommandException;
import org.pollensill.cli.admin.Session;
import org.pollensill.cli.admin.TextTable;

/** Shows which processes have applied a revision, and optionally waits until all have. */
final class StatusAction implements SettingsAction {

    private static final long DEFAULT_TIMEOUT_SECONDS = 10;
    private static final long POLL_INTERVAL_MS = 100;

    @Override
    public String usage() {
        return "settings status [REVISION] [--wait] [--timeout SECONDS]";
    }

    @Override
    public String summary() {
        return "show which processes have applied a revision";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(Session.flag("wait", "wait until every known process has applied the revision"))
                .addOption(Session.option("timeout", "SECONDS", "maximum wait (default: 10)"));
    }

    @Override
    public int run(Session session) throws CommandException {
        var operands = session.operands(0, 1);
        AdminClient client = session.client();
        JsonNode status = status(client);
        long targetRevision =
                operands.isEmpty() ? status.path("revision").asLong() : session.number("REVISION", operands.get(0));
        long deadlineNs =
                System.nanoTime() + session.number("timeout").orElse(DEFAULT_TIMEOUT_SECONDS) * 1_000_000_000L;
        while (session.hasFlag("wait") && countBehind(status, targetRevision) > 0 && System.nanoTime() < deadlineNs) {
            sleep();
            status = status(client);
        }
        JsonNode finalStatus = status;
        session.print(finalStatus, () -> print(session, finalStatus, targetRevision));
        return session.hasFlag("wait") && countBehind(finalStatus, targetRevision) > 0 ? ExitCode.TIMEOUT : ExitCode.OK;
    }

    /** Merges the reports of all daemons. Of two reports on a process, the one with the later revision is used. */
    private static JsonNode status(AdminClient client) throws CommandException {
        Map<String, JsonNode> processes = new TreeMap<>();
        boolean reachable = false;
        long revision = 0;
        List<JsonNode> responses = client.getAll("/settings/status");
        for (JsonNode response : responses) {
            reachable |= response.path("storeReachable").asBoolean();
            revision = Math.max(revision, response.path("revision").asLong());
            for (JsonNode process : response.path("processes")) {
                String name = String.join(
                        "/",
                        process.path("region").asText(),
                        process.path("zone").asText(),
                        process.path("host").asText(),
                        process.path("role").asText());
                processes.merge(name, process, StatusAction::newerReport);
            }
        }
        ObjectNode merged = SettingsChanges.MAPPER.createObjectNode();
        merged.put("revision", revision).put("storeReachable", reachable);
        merged.put("unanswered", client.addresses().size() - responses.size());
        merged.putArray("processes").addAll(processes.values());
        return merged;
    }

    private static JsonNode newerReport(JsonNode first, JsonNode second) {
        int order = Long.compare(
                first.path("revision").asLong(), second.path("revision").asLong());
        boolean firstIsNewer = order == 0
                ? first.path("ageMs").asLong() <= second.path("ageMs").asLong()
                : order > 0;
        return firstIsNewer ? first : second;
    }

    private static int countBehind(JsonNode status, long targetRevision) {
        // A daemon that does not respond is counted as behind.
        int behind = status.path("unanswered").asInt();
        for (JsonNode process : status.path("processes")) {
            behind += process.path("revision").asLong() < targetRevision ? 1 : 0;
        }
        return behind;
    }

    private static void print(Session session, JsonNode status, long targetRevision) {
        int unanswered = status.path("unanswered").asInt();
        int count = status.path("processes").size() + unanswered;
        session.out()
                .println("revision " + targetRevision + " is applied by "
                        + (count - countBehind(status, targetRevision)) + " of " + count
                        + " known processes; store "
                        + (status.path("storeReachable").asBoolean() ? "reachable" : "not reachable")
                        + (unanswered == 0 ? "" : "; " + unanswered + " of the given daemons do not respond"));
        TextTable table = new TextTable().row("REGION", "ZONE", "HOST", "ROLE", "REVISION", "HEARD");
        for (JsonNode process : status.path("processes")) {
            table.row(
                    process.path("region").asText(),
                    process.path("zone").asText(),
                    process.path("host").asText(),
                    process.path("role").asText(),
                    process.path("revision").asText(),
                    process.path("ageMs").asLong() + " ms ago");
        }
        table.print(session.out());
    }

    private static void sleep() throws CommandException {
        try {
            Thread.sleep(POLL_INTERVAL_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new CommandException(ExitCode.TIMEOUT, "interrupted while waiting for the revision to be applied");
        }
    }
}
