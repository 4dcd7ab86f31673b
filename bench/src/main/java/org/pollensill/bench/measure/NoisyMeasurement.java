package org.pollensill.bench.measure;

import java.io.IOException;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import org.pollensill.load.LoadConfig;
import org.pollensill.load.LoadGenerator;
import org.pollensill.load.LoadReport;

/** Slows down 2 of 11 upstreams temporarily, like noisy neighbours, and compares tail latency with round robin. */
final class NoisyMeasurement implements Measurement {

    private static final long WARM_UP_MS = 10_000;
    private static final long CALM_MS = 15_000;
    private static final long NOISY_MS = 20_000;
    private static final long AFTER_MS = 15_000;
    private static final int SLOW_UPSTREAMS = 2;
    private static final double SLOW_FACTOR = 8;
    private static final int CONNECTIONS = 1_000;
    private static final int UPSTREAM_CONNECTIONS = 64;

    @Override
    public Map<String, Object> run(Path home, Path directory) throws IOException, InterruptedException {
        Workload workload = Workload.singleZone();
        Map<String, Object> results = new LinkedHashMap<>();
        results.put("upstreams", workload.upstreams());
        results.put("slowUpstreams", SLOW_UPSTREAMS);
        results.put("slowFactor", SLOW_FACTOR);
        // The baseline runs first, so that the JIT has compiled the load generator before the daemons are measured.
        try (Fleet fleet = Fleet.start(home, directory.resolve("baseline"), workload, 0, 0, 0)) {
            results.put("roundRobin", measure(workload, fleet, fleet.upstreamAddresses(), UPSTREAM_CONNECTIONS));
        }
        try (Fleet fleet = Fleet.start(home, directory.resolve("pollensill"), workload, 2, 0, 0)) {
            results.put("pollensill", measure(workload, fleet, fleet.callerAddresses(), CONNECTIONS));
            results.put("promises", fleet.guaranteeCounters());
        }
        return results;
    }

    private static Map<String, Object> measure(
            Workload workload, Fleet fleet, List<String> targetAddresses, int connections)
            throws IOException, InterruptedException {
        List<LoadConfig.Phase> phases = List.of(
                new LoadConfig.Phase("warm", WARM_UP_MS, workload.usualRates()),
                new LoadConfig.Phase("calm", CALM_MS, workload.usualRates()),
                new LoadConfig.Phase("noisy", NOISY_MS, workload.usualRates()),
                new LoadConfig.Phase("after", AFTER_MS, workload.usualRates()));
        String slowUpstreams = String.join(",", fleet.upstreamNames().subList(0, SLOW_UPSTREAMS));
        CompletableFuture<Void> faultInjection = CompletableFuture.runAsync(
                () -> setFault(
                        fleet,
                        Map.of(
                                "fault",
                                "upstream-slow",
                                "target",
                                slowUpstreams,
                                "factor",
                                SLOW_FACTOR,
                                "forMs",
                                NOISY_MS)),
                CompletableFuture.delayedExecutor(WARM_UP_MS + CALM_MS, TimeUnit.MILLISECONDS));
        LoadReport report = LoadGenerator.run(workload.loadConfig(
                2,
                targetAddresses,
                List.of(),
                connections == CONNECTIONS ? fleet.standinAdminAddress() : "",
                connections,
                phases));
        faultInjection.join();
        Map<String, Object> result = new LinkedHashMap<>();
        for (Workload.Kind kind : workload.kinds()) {
            JsonNode calm = report.figures("calm", kind.name());
            JsonNode noisy = report.figures("noisy", kind.name());
            JsonNode after = report.figures("after", kind.name());
            Map<String, Object> ratios = new LinkedHashMap<>();
            ratios.put("p50Ratio", FloodMeasurement.roundToThousandths(FloodMeasurement.ratio(noisy, calm, "p50Ms")));
            ratios.put("p95Ratio", FloodMeasurement.roundToThousandths(FloodMeasurement.ratio(noisy, calm, "p95Ms")));
            ratios.put("p99Ratio", FloodMeasurement.roundToThousandths(FloodMeasurement.ratio(noisy, calm, "p99Ms")));
            ratios.put(
                    "p99RatioAfter", FloodMeasurement.roundToThousandths(FloodMeasurement.ratio(after, calm, "p99Ms")));
            result.put(kind.name(), ratios);
        }
        result.put("report", report.json().path("phases"));
        return result;
    }

    private static void setFault(Fleet fleet, Map<String, Object> fault) {
        try {
            fleet.setFault(fault);
        } catch (IOException | InterruptedException e) {
            throw new IllegalStateException("cannot activate " + fault, e);
        }
    }
}
