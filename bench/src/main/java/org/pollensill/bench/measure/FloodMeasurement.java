package org.pollensill.bench.measure;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import org.pollensill.load.LoadConfig;
import org.pollensill.load.LoadGenerator;
import org.pollensill.load.LoadReport;

/**
 * Floods one kind at a time, the least urgent first, with ten times the capacity of the fleet, and compares the other
 * kinds with the phase of the same run that has the usual load. The baseline sends the same load round robin directly
 * to the upstreams, without guaranteed shares or admission control.
 */
final class FloodMeasurement implements Measurement {

    private static final double FLOOD_FACTOR = 10;
    private static final long WARM_UP_MS = 10_000;
    private static final long PHASE_MS = 20_000;
    private static final long RECOVERY_MS = 7_000;
    private static final int ENTRY_HOSTS = 2;
    private static final int CONNECTIONS = 2_000;
    private static final int UPSTREAM_CONNECTIONS = 64;

    static final double MIN_THROUGHPUT_RATIO = 0.95;
    static final double MAX_P99_RATIO = 1.25;
    static final double MIN_USEFUL_CAPACITY_SHARE = 0.90;

    @Override
    public Map<String, Object> run(Path home, Path directory) throws IOException, InterruptedException {
        Workload workload = Workload.singleZone();
        Map<String, Object> results = new LinkedHashMap<>();
        results.put("upstreams", workload.upstreams());
        results.put("entryHosts", ENTRY_HOSTS);
        results.put("floodFactor", FLOOD_FACTOR);
        results.put("phaseMs", PHASE_MS);
        results.put("usualRatesPerSecond", workload.usualRates());
        // The baseline has a stand-in of its own, so that its overruns do not count as violated guarantees. It runs
        // first, so that the JIT has compiled the load generator before the daemons are measured.
        try (Fleet fleet = Fleet.start(home, directory.resolve("baseline"), workload, 0, 0, 0)) {
            LoadReport report = LoadGenerator.run(workload.loadConfig(
                    1, fleet.upstreamAddresses(), List.of(), "", UPSTREAM_CONNECTIONS, phases(workload)));
            results.put("roundRobin", compareWithUsual(workload, report));
            results.put("roundRobinPromises", fleet.guaranteeCounters());
            results.put("roundRobinReport", report.json().path("phases"));
        }
        try (Fleet fleet = Fleet.start(home, directory.resolve("pollensill"), workload, ENTRY_HOSTS, 0, 0)) {
            UsageSampler sampler = UsageSampler.start(fleet.processes(), phases(workload));
            LoadReport report = LoadGenerator.run(workload.loadConfig(
                    1, fleet.callerAddresses(), List.of(), fleet.standinAdminAddress(), CONNECTIONS, phases(workload)));
            results.put("pollensill", compareWithUsual(workload, report));
            results.put("processorPercent", sampler.processorPercent());
            results.put("promises", fleet.guaranteeCounters());
            results.put("pollensillReport", report.json().path("phases"));
        }
        return results;
    }

    private static List<LoadConfig.Phase> phases(Workload workload) {
        List<LoadConfig.Phase> phases = new ArrayList<>();
        phases.add(new LoadConfig.Phase("warm", WARM_UP_MS, workload.usualRates()));
        phases.add(new LoadConfig.Phase("usual", PHASE_MS, workload.usualRates()));
        for (int i = workload.kinds().size() - 1; i >= 0; i--) {
            Workload.Kind kind = workload.kinds().get(i);
            phases.add(new LoadConfig.Phase("flood-" + kind.name(), PHASE_MS, workload.floodRates(kind, FLOOD_FACTOR)));
            phases.add(new LoadConfig.Phase("rest-" + kind.name(), RECOVERY_MS, workload.usualRates()));
        }
        return phases;
    }

    /** Returns, per flood, the throughput and latency ratios of the other kinds and the useful share of capacity. */
    private static Map<String, Object> compareWithUsual(Workload workload, LoadReport report) {
        Map<String, Object> comparisons = new LinkedHashMap<>();
        for (int i = workload.kinds().size() - 1; i >= 0; i--) {
            Workload.Kind flooded = workload.kinds().get(i);
            String phase = "flood-" + flooded.name();
            Map<String, Object> comparison = new LinkedHashMap<>();
            double usefulSlots = 0;
            boolean targetsMet = true;
            for (Workload.Kind kind : workload.kinds()) {
                JsonNode during = report.figures(phase, kind.name());
                usefulSlots += report.answersPerSecond(phase, kind.name()) * kind.meanMs() / 1000;
                if (kind == flooded) {
                    continue;
                }
                JsonNode usual = report.figures("usual", kind.name());
                double throughputRatio = usefulShareOfSent(during) / usefulShareOfSent(usual);
                double p99Ratio = ratio(during, usual, "p99Ms");
                targetsMet &= throughputRatio >= MIN_THROUGHPUT_RATIO && p99Ratio <= MAX_P99_RATIO && p99Ratio > 0;
                comparison.put(
                        kind.name(),
                        Map.of(
                                "throughputRatio",
                                roundToThousandths(throughputRatio),
                                "p50Ratio",
                                roundToThousandths(ratio(during, usual, "p50Ms")),
                                "p99Ratio",
                                roundToThousandths(p99Ratio)));
            }
            double usefulCapacityShare = usefulSlots / workload.slotCount();
            comparison.put("usefulShareOfCapacity", roundToThousandths(usefulCapacityShare));
            comparison.put("targetsMet", targetsMet && usefulCapacityShare >= MIN_USEFUL_CAPACITY_SHARE);
            comparisons.put(phase, comparison);
        }
        return comparisons;
    }

    /** Returns the share of sent requests completed in time, which random variation of the arrivals does not affect. */
    private static double usefulShareOfSent(JsonNode figures) {
        long useful = figures.path("completed").asLong()
                - figures.path("completedLate").asLong();
        return (double) useful / Math.max(1, figures.path("sent").asLong());
    }

    static double ratio(JsonNode during, JsonNode usual, String name) {
        return during.path(name).asDouble() / usual.path(name).asDouble();
    }

    static double roundToThousandths(double value) {
        return Double.isFinite(value) ? Math.round(value * 1000) / 1000.0 : -1;
    }
}
