package org.pollensill.dispatch;

import java.util.HashMap;
import java.util.Map;

/** The work that was accepted lately, per service and priority, as an average that forgets. */
final class ArrivalRates {

    /** Time after which a change of the load is reflected by two thirds. */
    private static final double MEMORY_MS = 5_000;

    private record Key(String service, int priority) {}

    private static final class Rate {
        private double millicores;
        private long updatedAtMs;
    }

    private final Map<Key, Rate> rates = new HashMap<>();

    void accepted(String service, int priority, long workMillicoreMs, long nowMs) {
        Rate rate = rates.computeIfAbsent(new Key(service, priority), key -> new Rate());
        decay(rate, nowMs);
        rate.millicores += workMillicoreMs / MEMORY_MS;
    }

    long millicores(String service, int priority, long nowMs) {
        Rate rate = rates.get(new Key(service, priority));
        if (rate == null) {
            return 0;
        }
        decay(rate, nowMs);
        return (long) rate.millicores;
    }

    private static void decay(Rate rate, long nowMs) {
        rate.millicores *= Math.exp((rate.updatedAtMs - nowMs) / MEMORY_MS);
        rate.updatedAtMs = nowMs;
    }
}
