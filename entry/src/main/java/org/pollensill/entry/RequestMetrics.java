package org.pollensill.entry;

import java.util.Locale;
import java.util.Objects;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.pollensill.contract.Refusal;

/** Prometheus metrics for callers' requests. */
final class RequestMetrics {

    private static final double NS_PER_S = 1e9;

    private final Counter requests;
    private final Histogram latency;

    RequestMetrics(PrometheusRegistry registry) {
        Objects.requireNonNull(registry, "registry is null");
        requests = Counter.builder()
                .name("pollensill_requests_total")
                .help("Requests of callers by outcome.")
                .labelNames("service", "kind", "outcome")
                .register(registry);
        latency = Histogram.builder()
                .name("pollensill_request_seconds")
                .help("Time from a request's arrival to its answer.")
                .labelNames("service", "kind")
                .classicOnly()
                .classicUpperBounds(0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 60)
                .register(registry);
    }

    void answered(CallerRequest request, int status, long elapsedNs) {
        count(request, status >= 500 ? "failed" : CallerAnswers.COMPLETED);
        latency.labelValues(request.service(), request.description().kind()).observe(elapsedNs / NS_PER_S);
    }

    void refused(CallerRequest request, Refusal refusal) {
        count(request, refusal.reason().name().toLowerCase(Locale.ROOT));
    }

    private void count(CallerRequest request, String outcome) {
        requests.labelValues(request.service(), request.description().kind(), outcome)
                .inc();
    }
}
