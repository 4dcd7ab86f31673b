package org.pollensill.worker;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

/**
 * Estimates how much a batch kind increases the latency of a latency-critical kind on the same worker, per pair and
 * load band, from delayed measurements.
 */
public final class Interference {

    /** Smoothing factor of the moving average, which is dominated by about the last 10 measurements. */
    private static final double SMOOTHING_FACTOR = 0.2;

    /** Assumed ratio of a pair without measurements; above 1, so that kinds measured as harmless are preferred. */
    private static final double DEFAULT_RATIO = 1.05;

    private final Map<KindPair, Double> ratios = new HashMap<>();

    private Interference() {}

    /**
     * Returns an instance without measurements.
     *
     * @return the instance
     */
    public static Interference empty() {
        return new Interference();
    }

    /**
     * Adds a measurement.
     *
     * @param latencyCriticalKind the latency-critical kind
     * @param batchKind the batch kind
     * @param band the load band at the time of the measurement
     * @param ratio latency with the batch kind divided by latency without it
     */
    public void observe(String latencyCriticalKind, String batchKind, LoadBand band, double ratio) {
        if (!(ratio > 0) || Double.isInfinite(ratio)) {
            return;
        }
        ratios.merge(
                new KindPair(latencyCriticalKind, batchKind, band),
                ratio,
                (average, measured) -> average + SMOOTHING_FACTOR * (measured - average));
    }

    /**
     * Returns the expected ratio for one batch kind.
     *
     * @param latencyCriticalKind the latency-critical kind, empty if the worker serves none
     * @param batchKind the batch kind
     * @param band the load band
     * @return the ratio, 1 for no interference
     */
    public double ratio(String latencyCriticalKind, String batchKind, LoadBand band) {
        if (latencyCriticalKind.isEmpty()) {
            return 1;
        }
        return ratios.getOrDefault(new KindPair(latencyCriticalKind, batchKind, band), DEFAULT_RATIO);
    }

    /**
     * Returns the expected ratio for several batch kinds together.
     *
     * @param latencyCriticalKind the latency-critical kind
     * @param batchKinds the batch kinds, one entry per task
     * @param band the load band
     * @return the product of the ratios
     */
    public double ratio(String latencyCriticalKind, Collection<String> batchKinds, LoadBand band) {
        double product = 1;
        for (String batchKind : batchKinds) {
            product *= Math.max(1, ratio(latencyCriticalKind, batchKind, band));
        }
        return product;
    }

    private record KindPair(String latencyCriticalKind, String batchKind, LoadBand band) {

        private KindPair {
            Objects.requireNonNull(latencyCriticalKind, "latencyCriticalKind is null");
            Objects.requireNonNull(batchKind, "batchKind is null");
            Objects.requireNonNull(band, "band is null");
        }
    }
}
