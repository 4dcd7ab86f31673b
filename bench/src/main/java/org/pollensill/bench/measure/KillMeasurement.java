package org.pollensill.bench.measure;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import org.pollensill.load.LoadConfig;
import org.pollensill.load.LoadGenerator;
import org.pollensill.load.LoadReport;

/**
 * Injects failures one after the other under load, and reports for each the time until the share of requests answered
 * in time had recovered. The counters of violated guarantees in the stand-in must be zero at the end.
 */
final class KillMeasurement implements Measurement {

    private static final long WARM_UP_MS = 10_000;
    private static final long USUAL_LOAD_MS = 8_000;
    private static final long FAILURE_MS = 14_000;
    private static final long SETTLE_MS = 8_000;
    private static final long PAUSE_MS = 5_000;
    private static final int ENTRY_HOSTS = 3;
    private static final int CONNECTIONS = 1_500;
    private static final long TERMINATION_TIMEOUT_MS = 20_000;
    // Share of the requests of one second answered in time from which on the fleet counts as recovered.
    private static final double RECOVERED_SHARE = 0.95;

    private interface FaultAction {

        void run(Fleet fleet, Map<String, Object> observations) throws IOException, InterruptedException;
    }

    /** A failure: how it is injected and reverted. */
    private record Failure(String name, FaultAction inject, FaultAction revert) {}

    // Each upstream fault targets another upstream, because an upstream that was ejected gets few requests for a while.
    private static final List<Failure> FAILURES = List.of(
            new Failure(
                    "kill-9",
                    (fleet, observations) -> fleet.entries().get(2).process().signal("KILL"),
                    restartEntry(2)),
            new Failure("freeze", KillMeasurement::pause, (fleet, observations) -> {}),
            new Failure("terminate", KillMeasurement::terminate, restartEntry(0)),
            new Failure(
                    "store-down",
                    setFault(Map.of("fault", "store-down", "forMs", FAILURE_MS)),
                    (fleet, observations) -> {}),
            new Failure(
                    "store-slow",
                    setFault(Map.of("fault", "store-slow", "delayMs", 800, "forMs", FAILURE_MS)),
                    (fleet, observations) -> {}),
            new Failure(
                    "answers-lost", setFault(Map.of("fault", "lost-answer", "count", 10)), (fleet, observations) -> {}),
            new Failure("upstream-leaves", setUpstreamFault(0, "upstream-leave", "refuse"), returnUpstream(0)),
            new Failure("upstream-leaves-quietly", setUpstreamFault(1, "upstream-leave", "quiet"), returnUpstream(1)),
            new Failure("upstream-hangs", setUpstreamFault(2, "upstream-hang", ""), returnUpstream(2)),
            new Failure("answers-mismatched", setUpstreamFault(3, "upstream-mismatch", ""), returnUpstream(3)),
            new Failure("answers-broken", setUpstreamFault(4, "upstream-break", ""), returnUpstream(4)));

    private static FaultAction setFault(Map<String, Object> fault) {
        return (fleet, observations) -> fleet.setFault(fault);
    }

    private static FaultAction setUpstreamFault(int upstream, String fault, String mode) {
        return (fleet, observations) -> fleet.setFault(Map.of(
                "fault", fault, "mode", mode, "target", fleet.upstreamNames().get(upstream), "count", 5));
    }

    private static FaultAction returnUpstream(int upstream) {
        return (fleet, observations) -> fleet.setFault(Map.of(
                "fault", "upstream-return", "target", fleet.upstreamNames().get(upstream)));
    }

    private static FaultAction restartEntry(int entry) {
        return (fleet, observations) -> {
            Fleet.Daemon daemon = fleet.entries().get(entry);
            daemon.process().close();
            daemon.process().start();
            long startNs = System.nanoTime();
            fleet.awaitReady(daemon);
            observations.put("readyAgainMs", (System.nanoTime() - startNs) / 1_000_000);
        };
    }

    private static void pause(Fleet fleet, Map<String, Object> observations) throws IOException, InterruptedException {
        ManagedProcess process = fleet.entries().get(1).process();
        process.signal("STOP");
        Thread.sleep(PAUSE_MS);
        process.signal("CONT");
    }

    private static void terminate(Fleet fleet, Map<String, Object> observations)
            throws IOException, InterruptedException {
        ManagedProcess process = fleet.entries().get(0).process();
        process.signal("TERM");
        observations.put("endedAfterMs", process.awaitExitMs(TERMINATION_TIMEOUT_MS));
    }

    @Override
    public Map<String, Object> run(Path home, Path directory) throws IOException, InterruptedException {
        Workload workload = Workload.singleZoneWithKeyedKind();
        Map<String, Object> results = new LinkedHashMap<>();
        results.put("upstreams", workload.upstreams());
        results.put("entryHosts", ENTRY_HOSTS);
        results.put("usualRatesPerSecond", workload.usualRates());
        try (Fleet fleet = Fleet.start(home, directory, workload, ENTRY_HOSTS, 0, 0)) {
            LoadConfig loadConfig = workload.loadConfig(
                    3,
                    fleet.callerAddresses(),
                    fleet.adminAddresses(),
                    fleet.standinAdminAddress(),
                    CONNECTIONS,
                    phases(workload));
            CompletableFuture<LoadReport> running = CompletableFuture.supplyAsync(() -> generateLoad(loadConfig));
            Map<String, Map<String, Object>> observations = injectFailures(fleet);
            LoadReport report = running.get();
            results.put("failures", measureRecoveries(report, observations));
            results.put("promises", fleet.guaranteeCounters());
            results.put("wrongNotRun", report.json().path("wrongNotRun"));
            results.put("report", report.json().path("phases"));
        } catch (ExecutionException e) {
            throw new IOException("load generator failed", e);
        }
        return results;
    }

    private static List<LoadConfig.Phase> phases(Workload workload) {
        List<LoadConfig.Phase> phases = new ArrayList<>();
        phases.add(new LoadConfig.Phase("warm", WARM_UP_MS, workload.usualRates()));
        phases.add(new LoadConfig.Phase("usual", USUAL_LOAD_MS, workload.usualRates()));
        for (Failure failure : FAILURES) {
            phases.add(new LoadConfig.Phase(failure.name(), FAILURE_MS, workload.usualRates()));
            phases.add(new LoadConfig.Phase(failure.name() + "-end", SETTLE_MS, workload.usualRates()));
        }
        return phases;
    }

    private static LoadReport generateLoad(LoadConfig loadConfig) {
        try {
            return LoadGenerator.run(loadConfig);
        } catch (IOException | InterruptedException e) {
            throw new IllegalStateException("load generator failed", e);
        }
    }

    /** Injects each failure at the start of its phase and reverts it at the end. */
    private static Map<String, Map<String, Object>> injectFailures(Fleet fleet)
            throws IOException, InterruptedException {
        Map<String, Map<String, Object>> observations = new LinkedHashMap<>();
        long startNs = System.nanoTime();
        long offsetMs = WARM_UP_MS + USUAL_LOAD_MS;
        for (Failure failure : FAILURES) {
            Map<String, Object> observation = new LinkedHashMap<>();
            observations.put(failure.name(), observation);
            sleepUntil(startNs, offsetMs);
            failure.inject().run(fleet, observation);
            sleepUntil(startNs, offsetMs + FAILURE_MS);
            failure.revert().run(fleet, observation);
            offsetMs += FAILURE_MS + SETTLE_MS;
        }
        return observations;
    }

    private static void sleepUntil(long startNs, long offsetMs) throws InterruptedException {
        long remainingNs = startNs + offsetMs * 1_000_000 - System.nanoTime();
        if (remainingNs > 0) {
            TimeUnit.NANOSECONDS.sleep(remainingNs);
        }
    }

    private static Map<String, Object> measureRecoveries(
            LoadReport report, Map<String, Map<String, Object>> observations) {
        Map<String, Object> recoveries = new LinkedHashMap<>();
        long bucketMs = report.json().path("timelineBucketMs").asLong();
        recoveries.put("usual", timelyShare(report.json(), WARM_UP_MS / bucketMs, USUAL_LOAD_MS / bucketMs));
        long offsetMs = WARM_UP_MS + USUAL_LOAD_MS;
        for (Failure failure : FAILURES) {
            Map<String, Object> result = new LinkedHashMap<>(observations.get(failure.name()));
            result.putAll(measureRecovery(report.json(), offsetMs / bucketMs, FAILURE_MS / bucketMs, bucketMs));
            result.put("share", timelyShare(report.json(), offsetMs / bucketMs, FAILURE_MS / bucketMs));
            Map<String, Object> afterEnd =
                    measureRecovery(report.json(), (offsetMs + FAILURE_MS) / bucketMs, SETTLE_MS / bucketMs, bucketMs);
            afterEnd.forEach((name, value) -> result.put("end-" + name, value));
            recoveries.put(failure.name(), result);
            offsetMs += FAILURE_MS + SETTLE_MS;
        }
        return recoveries;
    }

    /**
     * Returns the lowest share of any second of the phase, and the time from which on every second met the recovered
     * share; -1 if the share was still lower at the end of the phase.
     */
    private static Map<String, Object> measureRecovery(JsonNode report, long from, long buckets, long bucketMs) {
        long bucketsPerSecond = 1000 / bucketMs;
        double worstShare = 1;
        long recoveredFrom = from;
        for (long at = from - bucketsPerSecond; at + bucketsPerSecond <= from + buckets; at++) {
            double share = timelyShare(report, at, bucketsPerSecond);
            worstShare = Math.min(worstShare, share);
            if (share < RECOVERED_SHARE) {
                recoveredFrom = at + bucketsPerSecond;
            }
        }
        boolean recovered = recoveredFrom < from + buckets - bucketsPerSecond;
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("backAfterMs", recovered ? (recoveredFrom - from) * bucketMs : -1);
        map.put("worstSecondShare", FloodMeasurement.roundToThousandths(worstShare));
        return map;
    }

    /** Returns the share of the requests scheduled in a range of buckets that were answered in time. */
    private static double timelyShare(JsonNode report, long from, long buckets) {
        long sent = 0;
        long useful = 0;
        for (JsonNode kind : report.path("sentByBucket")) {
            for (long i = from; i < from + buckets; i++) {
                sent += kind.path((int) i).asLong();
            }
        }
        for (JsonNode kind : report.path("usefulByBucket")) {
            for (long i = from; i < from + buckets; i++) {
                useful += kind.path((int) i).asLong();
            }
        }
        return FloodMeasurement.roundToThousandths((double) useful / Math.max(1, sent));
    }
}
