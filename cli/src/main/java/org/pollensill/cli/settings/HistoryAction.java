package org.pollensill.cli.settings;

import java.time.Instant;
import java.util.stream.Collectors;
import java.util.stream.StreamSupport;

import com.fasterxml.jackson.databind.JsonNode;
import org.apache.commons.cli.Options;
import org.pollensill.cli.ExitCode;
import org.pollensill.cli.admin.CommandException;
import org.pollensill.cli.admin.Session;
import org.pollensill.cli.admin.TextTable;

/** Lists changes with their author, reason and paths. */
final class HistoryAction implements SettingsAction {

    @Override
    public String usage() {
        return "settings history [--limit COUNT] [--after REVISION]";
    }

    @Override
    public String summary() {
        return "list the latest changes";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(Session.option("limit", "COUNT", "maximum number of changes (default: 20)"))
                .addOption(Session.option("after", "REVISION", "list only changes after this revision"));
    }

    @Override
    public int run(Session session) throws CommandException {
        session.operands(0, 0);
        String query = "/settings/history?limit=" + session.number("limit").orElse(20L)
                + session.number("after").map(r -> "&after=" + r).orElse("");
        JsonNode history = session.client().get(query);
        session.print(history, () -> {
            TextTable table = new TextTable().row("REVISION", "TIME", "AUTHOR", "REASON", "PATHS");
            for (JsonNode change : history.path("changes")) {
                table.row(
                        change.path("revision").asText(),
                        Instant.ofEpochMilli(change.path("committedAtMs").asLong())
                                .truncatedTo(java.time.temporal.ChronoUnit.SECONDS),
                        change.path("author").asText(),
                        change.path("reason").asText(),
                        StreamSupport.stream(change.path("edits").spliterator(), false)
                                .map(edit -> edit.path("path").asText())
                                .collect(Collectors.joining(" ")));
            }
            table.print(session.out());
        });
        return ExitCode.OK;
    }
}
