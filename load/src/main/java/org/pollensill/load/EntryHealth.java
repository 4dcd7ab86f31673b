package org.pollensill.load;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicIntegerArray;

/**
 * Readiness probes, as the load balancer of the platform sends them. An entry is unhealthy after two consecutive
 * failed probes. Without health addresses, all entries are considered healthy.
 */
final class EntryHealth {

    private static final long PROBE_INTERVAL_MS = 200;
    private static final Duration PROBE_TIMEOUT = Duration.ofMillis(400);
    private static final int FAILURE_THRESHOLD = 2;

    private final List<String> addresses;
    private final AtomicIntegerArray failures;
    private final HttpClient client =
            HttpClient.newBuilder().connectTimeout(PROBE_TIMEOUT).build();
    private final Thread thread = new Thread(this::probeAll, "entry-health");

    EntryHealth(List<String> addresses) {
        this.addresses = List.copyOf(addresses);
        this.failures = new AtomicIntegerArray(addresses.size());
        thread.setDaemon(true);
    }

    void start() {
        if (!addresses.isEmpty()) {
            thread.start();
        }
    }

    boolean isHealthy(int entry) {
        return addresses.isEmpty() || failures.get(entry) < FAILURE_THRESHOLD;
    }

    private void probeAll() {
        try {
            while (true) {
                for (int i = 0; i < addresses.size(); i++) {
                    probe(i);
                }
                Thread.sleep(PROBE_INTERVAL_MS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void probe(int entry) {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + addresses.get(entry) + "/readyz"))
                .timeout(PROBE_TIMEOUT)
                .build();
        client.sendAsync(request, HttpResponse.BodyHandlers.discarding()).whenComplete((response, failure) -> {
            boolean ready = failure == null && response.statusCode() == 200;
            failures.updateAndGet(entry, count -> ready ? 0 : count + 1);
        });
    }

    void stop() {
        thread.interrupt();
    }
}
