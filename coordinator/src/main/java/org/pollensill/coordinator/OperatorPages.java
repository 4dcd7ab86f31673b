package org.pollensill.coordinator;

import java.util.Objects;
import java.util.Optional;

import org.pollensill.dispatch.ZoneStatus;
import org.pollensill.json.JsonText;
import org.pollensill.leader.LeaderRow;
import org.pollensill.runtime.admin.MetricsPage;
import org.pollensill.runtime.http.Answer;
import org.pollensill.runtime.http.HttpHandler;
import org.pollensill.runtime.http.Request;
import org.pollensill.runtime.http.Responder;

/**
 * What a coordinator serves to operators: its metrics, and at {@code /status} its state. Only the leader knows what runs
 * in a zone; the others name it.
 */
final class OperatorPages implements HttpHandler {

    static final String STATUS_PATH = "/status";

    private final CoordinatorSettings settings;
    private final LeaderElector elector;
    private final MetricsPage metrics;

    OperatorPages(CoordinatorSettings settings, LeaderElector elector, MetricsPage metrics) {
        this.settings = Objects.requireNonNull(settings, "settings is null");
        this.elector = Objects.requireNonNull(elector, "elector is null");
        this.metrics = Objects.requireNonNull(metrics, "metrics is null");
    }

    @Override
    public void handle(Request request, Responder responder) {
        if (request.path().equals(STATUS_PATH)) {
            responder.answer(Answer.json(200, status(elector.session(), elector.leader())));
            return;
        }
        metrics.handle(request, responder);
    }

    private String status(Optional<LeaderSession> session, Optional<LeaderRow> leader) {
        return JsonText.object(json -> {
            json.writeStringField("machine", settings.name());
            json.writeStringField("zone", settings.zone());
            json.writeBooleanField("leading", session.isPresent());
            if (session.isEmpty()) {
                json.writeStringField("leader", leader.map(LeaderRow::leader).orElse("unknown"));
                return;
            }
            json.writeArrayFieldStart("evacuatedZones");
            for (ZoneStatus zone : session.get().evacuatedZones()) {
                json.writeStartObject();
                json.writeStringField("zone", zone.zone());
                json.writeNumberField("knownForMs", zone.evacuatedForMs());
                json.writeNumberField("longRunningTasks", zone.longRunningTasks());
                json.writeNumberField("otherTasks", zone.otherTasks());
                json.writeEndObject();
            }
            json.writeEndArray();
        });
    }
}
