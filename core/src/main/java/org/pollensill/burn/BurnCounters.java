package org.pollensill.burn;

import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;

/** Cumulative request counters of one process. Thread-safe. */
public final class BurnCounters {

    /** Bounds the memory: callers may send any service and kind. Requests beyond the limit share {@link #OVERFLOW}. */
    private static final int MAX_KEYS = 1_024;

    private static final BurnKey OVERFLOW = new BurnKey("other", "other");

    private final Object lock = new Object();
    private final Map<BurnKey, BurnSeries> series = new TreeMap<>();

    private BurnCounters() {}

    /**
     * Creates counters that start at zero.
     *
     * @return the counters
     */
    public static BurnCounters empty() {
        return new BurnCounters();
    }

    /**
     * Counts a request that met its latency bound.
     *
     * @param key service and kind
     * @param nowMs wall-clock time
     */
    public void met(BurnKey key, long nowMs) {
        add(key, BurnCounts.cell(Verdict.MET, Cause.OTHER), nowMs);
    }

    /**
     * Counts a request.
     *
     * @param key service and kind
     * @param verdict outcome of the request
     * @param cause why it consumed error budget, ignored for {@link Verdict#MET}
     * @param nowMs wall-clock time
     */
    public void record(BurnKey key, Verdict verdict, Cause cause, long nowMs) {
        Objects.requireNonNull(verdict, "verdict is null");
        Objects.requireNonNull(cause, "cause is null");
        add(key, BurnCounts.cell(verdict, cause), nowMs);
    }

    private void add(BurnKey key, int cell, long nowMs) {
        Objects.requireNonNull(key, "key is null");
        synchronized (lock) {
            BurnKey effectiveKey = series.containsKey(key) || series.size() < MAX_KEYS ? key : OVERFLOW;
            series.computeIfAbsent(effectiveKey, absent -> new BurnSeries()).add(cell, 1, nowMs);
        }
    }

    /** Returns a copy, after merging old buckets into wider ones. */
    Map<BurnKey, BurnSeries> copy(long nowMs) {
        synchronized (lock) {
            Map<BurnKey, BurnSeries> copy = new TreeMap<>();
            series.forEach((key, keySeries) -> {
                keySeries.compact(nowMs);
                copy.put(key, keySeries.copy());
            });
            return copy;
        }
    }

    /** Subtracts the counts of an earlier copy. */
    void subtract(Map<BurnKey, BurnSeries> earlier, long nowMs) {
        synchronized (lock) {
            earlier.forEach((key, keySeries) -> {
                BurnSeries own = series.get(key);
                if (own != null) {
                    own.subtract(keySeries, nowMs);
                }
            });
        }
    }

    /** Removes all counts. */
    void clear() {
        synchronized (lock) {
            series.clear();
        }
    }
}
