package org.pollensill.load;

import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;

import org.HdrHistogram.Histogram;

/** Counts and latencies of one kind in one phase. Latencies are measured from the intended start. */
final class KindStats {

    private static final long MAX_LATENCY_MICROS = 60_000_000;
    private static final double[] PERCENTILES = {50, 95, 99, 99.9};
    private static final String[] PERCENTILE_NAMES = {"p50Ms", "p95Ms", "p99Ms", "p999Ms"};

    private final Map<Outcome, Long> counts = new EnumMap<>(Outcome.class);
    private final Map<String, Long> details = new TreeMap<>();
    private final Histogram completedLatencies = new Histogram(MAX_LATENCY_MICROS, 3);
    private final Histogram notRunLatencies = new Histogram(MAX_LATENCY_MICROS, 3);
    private long completedLate;

    void record(Outcome outcome, String detail, long latencyNs, long deadlineMs) {
        counts.merge(outcome, 1L, Long::sum);
        long micros = Math.max(0, Math.min(MAX_LATENCY_MICROS, latencyNs / 1000));
        if (outcome == Outcome.COMPLETED) {
            completedLatencies.recordValue(micros);
            completedLate += micros > deadlineMs * 1000 ? 1 : 0;
            return;
        }
        if (outcome == Outcome.NOT_RUN) {
            notRunLatencies.recordValue(micros);
        }
        details.merge(outcome.name().toLowerCase() + " " + detail, 1L, Long::sum);
    }

    void add(KindStats other) {
        other.counts.forEach((outcome, count) -> counts.merge(outcome, count, Long::sum));
        other.details.forEach((detail, count) -> details.merge(detail, count, Long::sum));
        completedLatencies.add(other.completedLatencies);
        notRunLatencies.add(other.notRunLatencies);
        completedLate += other.completedLate;
    }

    long count(Outcome outcome) {
        return counts.getOrDefault(outcome, 0L);
    }

    Map<String, Object> toMap(long durationMs) {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("sent", counts.values().stream().mapToLong(Long::longValue).sum());
        map.put("completed", count(Outcome.COMPLETED));
        map.put("completedLate", completedLate);
        map.put("usefulPerSecond", round((count(Outcome.COMPLETED) - completedLate) * 1000.0 / durationMs));
        map.put("notRun", count(Outcome.NOT_RUN));
        map.put("unknown", count(Outcome.UNKNOWN));
        map.put("noAnswer", count(Outcome.NO_ANSWER));
        map.put("notSent", count(Outcome.NOT_SENT));
        map.put("wrongAnswer", count(Outcome.WRONG_ANSWER));
        for (int i = 0; i < PERCENTILES.length; i++) {
            map.put(PERCENTILE_NAMES[i], millis(completedLatencies.getValueAtPercentile(PERCENTILES[i])));
        }
        map.put("maxMs", millis(completedLatencies.getMaxValue()));
        map.put("notRunP99Ms", millis(notRunLatencies.getValueAtPercentile(99)));
        map.put("reasons", details);
        return map;
    }

    private static double millis(long micros) {
        return round(micros / 1000.0);
    }

    private static double round(double value) {
        return Math.round(value * 100) / 100.0;
    }
}
