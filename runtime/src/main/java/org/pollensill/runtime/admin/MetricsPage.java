package org.pollensill.runtime.admin;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Objects;

import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.pollensill.runtime.http.Answer;
import org.pollensill.runtime.http.Headers;
import org.pollensill.runtime.http.HttpHandler;
import org.pollensill.runtime.http.Request;
import org.pollensill.runtime.http.Responder;

/** Serves the metrics of a process in the Prometheus text format at {@code /metrics}. */
public final class MetricsPage implements HttpHandler {

    /** Request path of the metrics. */
    public static final String PATH = "/metrics";

    private final PrometheusRegistry registry;

    /**
     * Creates the handler.
     *
     * @param registry the registry to expose
     */
    public MetricsPage(PrometheusRegistry registry) {
        this.registry = Objects.requireNonNull(registry, "registry is null");
    }

    @Override
    public void handle(Request request, Responder responder) {
        responder.answer(request.path().equals(PATH) ? answer() : Answer.of(404));
    }

    /**
     * Returns the current metrics.
     *
     * @return the response
     */
    public Answer answer() {
        ByteArrayOutputStream text = new ByteArrayOutputStream();
        try {
            PrometheusTextFormatWriter.create().write(text, registry.scrape());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return new Answer(200, Headers.of("Content-Type", PrometheusTextFormatWriter.CONTENT_TYPE), text.toByteArray());
    }
}
