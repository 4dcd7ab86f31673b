package org.pollensill.cli.settings;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.DateTimeException;
import java.time.Instant;

import com.fasterxml.jackson.databind.JsonNode;
import org.apache.commons.cli.Options;
import org.pollensill.cli.ExitCode;
import org.pollensill.cli.admin.CommandException;
import org.pollensill.cli.admin.Session;
import org.pollensill.cli.admin.TextTable;

/** Prints the effective values of a region or zone and the level at which each is set. */
final class EffectiveAction implements SettingsAction {

    @Override
    public String usage() {
        return "settings effective REGION/ZONE|REGION|defaults [--at TIME]";
    }

    @Override
    public String summary() {
        return "print the effective values of a region or zone and the level at which each is set";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(Session.option("at", "TIME", "ISO 8601 time such as 2026-12-07T10:30:00Z (default: now)"));
    }

    @Override
    public int run(Session session) throws CommandException {
        String query = "/settings/effective?place="
                + URLEncoder.encode(session.operands(1, 1).get(0), StandardCharsets.UTF_8);
        if (session.value("at").isPresent()) {
            try {
                query += "&atMs=" + Instant.parse(session.value("at").get()).toEpochMilli();
            } catch (DateTimeException e) {
                throw session.usageError("--at must be an ISO 8601 time such as 2026-12-07T10:30:00Z, got "
                        + session.value("at").get());
            }
        }
        JsonNode effective = session.client().get(query);
        session.print(effective, () -> {
            session.out()
                    .println("revision " + effective.path("revision").asLong() + ", place "
                            + effective.path("place").asText() + ", active shifts " + effective.path("activeShifts"));
            TextTable table = new TextTable().row("PATH", "VALUE", "SET BY");
            for (JsonNode value : effective.path("values")) {
                table.row(
                        value.path("path").asText(),
                        value.path("value"),
                        value.path("level").asText());
            }
            table.print(session.out());
        });
        return ExitCode.OK;
    }
}
