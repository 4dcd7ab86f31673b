package org.pollensill.worker;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

/**
 * Estimates the resource usage of tasks per kind from delayed reports: a high percentile of processors and memory, or
 * the declared size until there are enough samples. Accelerators are always allocated as declared.
 */
public final class UsageEstimator {

    /** Percentile of the usage samples that an estimate covers. */
    private static final double PERCENTILE = 0.95;

    /** Minimum number of samples for an estimate of the percentile. */
    private static final int MIN_SAMPLES = 20;

    /** Above this number of samples all counts are halved, so that older samples lose weight. */
    private static final int MAX_SAMPLES = 1024;

    private final Map<String, KindHistograms> histogramsByKind = new HashMap<>();

    private UsageEstimator() {}

    /**
     * Returns an estimator without samples.
     *
     * @return the estimator
     */
    public static UsageEstimator empty() {
        return new UsageEstimator();
    }

    /**
     * Adds the reported usage of a running task. A sample that was taken before the task ran is ignored.
     *
     * @param kind the task's kind
     * @param usage the usage
     * @param usageAgeMs age of the sample
     * @param runningMs run time of the task
     */
    public void observe(String kind, Resources usage, long usageAgeMs, long runningMs) {
        Objects.requireNonNull(usage, "usage is null");
        if (usageAgeMs >= runningMs) {
            return;
        }
        KindHistograms histograms = histogramsByKind.computeIfAbsent(
                Objects.requireNonNull(kind, "kind is null"), name -> new KindHistograms());
        histograms.processors.add(usage.processorsMillicores());
        histograms.memory.add(usage.memoryBytes());
    }

    /**
     * Returns the size to allocate for a task.
     *
     * @param kind the task's kind
     * @param declared the declared size
     * @return the estimated size, or the declared one while there are too few samples
     */
    public Resources estimate(String kind, Resources declared) {
        Objects.requireNonNull(declared, "declared is null");
        KindHistograms histograms = histogramsByKind.get(Objects.requireNonNull(kind, "kind is null"));
        if (histograms == null || histograms.processors.samples < MIN_SAMPLES) {
            return declared;
        }
        return new Resources(
                histograms.processors.percentile(PERCENTILE),
                histograms.memory.percentile(PERCENTILE),
                declared.accelerators());
    }

    private static final class KindHistograms {
        private final Histogram processors = new Histogram();
        private final Histogram memory = new Histogram();
    }

    /** Logarithmic histogram with 4 buckets per doubling; a percentile is at most 19% above the true value. */
    private static final class Histogram {

        private static final int BUCKETS_PER_DOUBLING = 4;
        private static final int BUCKETS = 64 * BUCKETS_PER_DOUBLING;

        private final int[] counts = new int[BUCKETS];
        private int samples;

        private void add(long value) {
            counts[bucket(value)]++;
            samples++;
            if (samples > MAX_SAMPLES) {
                halve();
            }
        }

        private void halve() {
            samples = 0;
            for (int i = 0; i < BUCKETS; i++) {
                counts[i] /= 2;
                samples += counts[i];
            }
        }

        private long percentile(double rank) {
            long target = (long) Math.ceil(samples * rank);
            long cumulative = 0;
            for (int i = 0; i < BUCKETS; i++) {
                cumulative += counts[i];
                if (cumulative >= target) {
                    return (long) Math.ceil(Math.pow(2, (double) i / BUCKETS_PER_DOUBLING));
                }
            }
            return Long.MAX_VALUE;
        }

        private static int bucket(long value) {
            if (value <= 1) {
                return 0;
            }
            int bucket = (int) Math.ceil(Math.log(value) / Math.log(2) * BUCKETS_PER_DOUBLING);
            return Math.min(bucket, BUCKETS - 1);
        }
    }
}
