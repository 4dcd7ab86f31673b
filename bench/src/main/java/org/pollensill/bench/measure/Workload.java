package org.pollensill.bench.measure;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

import org.pollensill.load.LoadConfig;

/**
 * Workload of the measurements: the three kinds of the Secretaria with their usual rates, scaled down so that a load
 * generator on one machine can send ten times the capacity.
 *
 * @param upstreams number of upstreams in the zone
 * @param kinds request kinds, most urgent first
 */
record Workload(int upstreams, List<Kind> kinds) {

    static final String REGION = "serra";
    static final String ZONE = "caxias";
    static final String SERVICE = "balcao-reparo";
    private static final int SLOTS_PER_UPSTREAM = 8;
    private static final int BODY_BYTES = 200;

    /**
     * A request kind.
     *
     * @param name the kind's name
     * @param urgency 0 for the most urgent
     * @param meanMs mean service time
     * @param boundMs maximum service time
     * @param deadlineMs deadline of the requests
     * @param load usual load as a share of all slots
     * @param guaranteedShare share of the slots that is guaranteed
     * @param cap maximum share of the slots
     * @param slotsPerUpstreamCap maximum number of slots of one upstream
     * @param idempotent whether requests may run twice
     * @param keyed whether requests carry an idempotency key and are retried while their outcome is unknown
     */
    record Kind(
            String name,
            int urgency,
            double meanMs,
            long boundMs,
            long deadlineMs,
            double load,
            double guaranteedShare,
            double cap,
            int slotsPerUpstreamCap,
            boolean idempotent,
            boolean keyed) {

        Kind {
            Objects.requireNonNull(name, "name is null");
        }
    }

    Workload {
        kinds = List.copyOf(Objects.requireNonNull(kinds, "kinds is null"));
    }

    /** Returns one zone of the Secretaria with 11 upstreams at two thirds of their capacity. */
    static Workload singleZone() {
        return new Workload(
                11,
                List.of(
                        new Kind("seam-check", 0, 100, 1000, 1000, 0.27, 0.40, 1, 8, true, false),
                        new Kind("patch-cut-plan", 1, 300, 2000, 2500, 0.25, 0.35, 1, 6, false, false),
                        new Kind("mildew-watch", 2, 800, 5000, 6000, 0.14, 0.20, 0.6, 4, true, false)));
    }

    /** Returns the zone with a keyed kind in addition and a load near capacity, so that lost capacity is visible. */
    static Workload singleZoneWithKeyedKind() {
        return new Workload(
                11,
                List.of(
                        new Kind("seam-check", 0, 100, 1000, 1000, 0.36, 0.40, 1, 8, true, false),
                        new Kind("patch-cut-plan", 1, 300, 2000, 2500, 0.24, 0.25, 1, 6, false, false),
                        new Kind("patch-order", 1, 300, 2000, 2500, 0.06, 0.10, 1, 6, false, true),
                        new Kind("mildew-watch", 2, 800, 5000, 6000, 0.18, 0.20, 0.6, 3, true, false)));
    }

    int slotCount() {
        return upstreams * SLOTS_PER_UPSTREAM;
    }

    /** Returns the rate at which one kind alone fills all slots. */
    double capacityPerSecond(Kind kind) {
        return slotCount() * 1000 / kind.meanMs();
    }

    double usualRatePerSecond(Kind kind) {
        return capacityPerSecond(kind) * kind.load();
    }

    Map<String, Double> usualRates() {
        Map<String, Double> rates = new LinkedHashMap<>();
        kinds.forEach(kind -> rates.put(kind.name(), usualRatePerSecond(kind)));
        return rates;
    }

    Map<String, Double> floodRates(Kind flooded, double factor) {
        Map<String, Double> rates = usualRates();
        rates.put(flooded.name(), capacityPerSecond(flooded) * factor);
        return rates;
    }

    LoadConfig loadConfig(
            long seed,
            List<String> targetAddresses,
            List<String> healthCheckAddresses,
            String standinAdminAddress,
            int connections,
            List<LoadConfig.Phase> phases) {
        List<LoadConfig.Kind> loadKinds = new ArrayList<>();
        for (Kind kind : kinds) {
            loadKinds.add(new LoadConfig.Kind(
                    kind.name(),
                    SERVICE,
                    6,
                    kind.deadlineMs(),
                    kind.idempotent(),
                    kind.keyed(),
                    kind.keyed() ? 2 : 0,
                    BODY_BYTES,
                    "poisson"));
        }
        return new LoadConfig(
                seed,
                targetAddresses,
                healthCheckAddresses,
                standinAdminAddress,
                2,
                connections,
                0,
                0,
                loadKinds,
                phases);
    }

    Map<String, Object> standinConfig(int workerCount, List<Map<String, Object>> hostList) {
        Map<String, Object> standinKinds = new LinkedHashMap<>();
        for (Kind kind : kinds) {
            standinKinds.put(
                    kind.name(),
                    Map.of(
                            "distribution",
                            "lognormal",
                            "meanMs",
                            kind.meanMs(),
                            "sigma",
                            0.5,
                            "boundMs",
                            kind.boundMs(),
                            "idempotent",
                            kind.idempotent(),
                            "answerBytes",
                            BODY_BYTES));
        }
        Map<String, Object> zone =
                Map.of("region", REGION, "zone", ZONE, "upstreams", Map.of(SERVICE, upstreams), "workers", workerCount);
        return Map.of(
                "seed",
                7,
                "hostListLagMs",
                1000,
                "usageLagMs",
                2000,
                "zones",
                List.of(zone),
                "kinds",
                standinKinds,
                "hosts",
                hostList);
    }

    /** Returns the settings tree of the fleet. */
    Map<String, Object> settingsTree() {
        Map<String, Object> settingsKinds = new LinkedHashMap<>();
        for (Kind kind : kinds) {
            Map<String, Object> values = new LinkedHashMap<>();
            values.put("urgency", kind.urgency());
            values.put("guaranteedShare", kind.guaranteedShare());
            values.put("cap", kind.cap());
            values.put("queueLimit", 200);
            values.put("executionBoundMs", kind.boundMs());
            values.put("slotsPerUpstreamCap", kind.slotsPerUpstreamCap());
            values.put("idempotent", kind.idempotent());
            values.put("deadlineMs", kind.deadlineMs());
            settingsKinds.put(kind.name(), values);
        }
        return Map.of("defaults", Map.of("services", Map.of(SERVICE, Map.of("kinds", settingsKinds))));
    }
}
