package org.pollensill.standin;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;

import com.fasterxml.jackson.databind.JsonNode;

/** Serves the admin port: fault injection, counters, ports and the reports of load generators and tests. */
final class AdminFrontend implements HttpListener.Handler {

    private final Standin standin;
    private final FaultInjector faults;

    AdminFrontend(Standin standin) {
        this.standin = Objects.requireNonNull(standin, "standin is null");
        this.faults = new FaultInjector(standin);
    }

    @Override
    public void handle(Exchange exchange) throws IOException {
        switch (exchange.method() + " " + exchange.path()) {
            case "GET /healthz" -> exchange.answer(200, "ok");
            case "GET /counters" -> exchange.answer(200, standin.counters());
            case "GET /ports" -> exchange.answer(200, standin.ports());
            case "POST /faults" -> exchange.answer(200, Map.of("targets", faults.apply(exchange.json())));
            case "POST /not-run" -> {
                int wrong = standin.requests()
                        .countWrongNotRun(texts(exchange.json().path("identities")));
                exchange.answer(200, Map.of("wrong", wrong));
            }
            case "POST /expect-tasks" -> {
                standin.tasks().expect(texts(exchange.json().path("tasks")));
                exchange.answer(200, Map.of());
            }
            default -> exchange.answer(404, "no such path");
        }
    }

    private static List<String> texts(JsonNode array) {
        List<String> texts = new ArrayList<>();
        array.forEach(text -> texts.add(text.asText()));
        return texts;
    }
}
