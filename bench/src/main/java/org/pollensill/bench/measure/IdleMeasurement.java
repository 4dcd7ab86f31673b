package org.pollensill.bench.measure;

import java.io.IOException;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;

/** Measures resident memory, processor time and traffic of idle daemons against the budget of a daemon. */
final class IdleMeasurement implements Measurement {

    private static final double MEMORY_BUDGET_BYTES = 64e6;
    private static final double PROCESSOR_BUDGET_PERCENT = 1.1;
    private static final double TRAFFIC_BUDGET_BYTES_PER_SECOND = 11e3;
    private static final long SETTLE_MS = 20_000;
    private static final long MEASURE_MS = 40_000;

    @Override
    public Map<String, Object> run(Path home, Path directory) throws IOException, InterruptedException {
        Workload workload = Workload.singleZone();
        Map<String, Object> results = new LinkedHashMap<>();
        results.put("upstreams", workload.upstreams());
        results.put("workers", workload.upstreams());
        try (Fleet fleet = Fleet.start(home, directory, workload, 2, 2, workload.upstreams())) {
            Thread.sleep(SETTLE_MS);
            Map<String, ProcessUsage> before = new LinkedHashMap<>();
            for (Fleet.Daemon daemon : fleet.daemons()) {
                before.put(daemon.name(), ProcessUsage.of(daemon.process().pid()));
            }
            Thread.sleep(MEASURE_MS);
            for (Fleet.Daemon daemon : fleet.daemons()) {
                results.put(
                        daemon.name(),
                        compare(
                                before.get(daemon.name()),
                                ProcessUsage.of(daemon.process().pid())));
            }
        }
        return results;
    }

    private static Map<String, Object> compare(ProcessUsage before, ProcessUsage after) {
        double processorPercent = after.processorPercentSince(before);
        double bytesPerSecond = after.bytesPerSecondSince(before);
        Map<String, Object> usage = new LinkedHashMap<>();
        usage.put("residentMegabytes", FloodMeasurement.roundToThousandths(after.residentBytes() / 1e6));
        usage.put("residentOfBudget", FloodMeasurement.roundToThousandths(after.residentBytes() / MEMORY_BUDGET_BYTES));
        usage.put("processorPercent", FloodMeasurement.roundToThousandths(processorPercent));
        usage.put(
                "processorOfBudget", FloodMeasurement.roundToThousandths(processorPercent / PROCESSOR_BUDGET_PERCENT));
        usage.put("bytesPerSecond", Math.round(bytesPerSecond));
        usage.put(
                "trafficOfBudget",
                FloodMeasurement.roundToThousandths(bytesPerSecond / TRAFFIC_BUDGET_BYTES_PER_SECOND));
        return usage;
    }
}
