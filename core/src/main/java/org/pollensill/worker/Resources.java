package org.pollensill.worker;

import java.util.Objects;

/**
 * An amount of processors, memory and accelerators.
 *
 * @param processorsMillicores processor capacity in thousandths of a core
 * @param memoryBytes memory in bytes
 * @param accelerators number of accelerators
 */
public record Resources(long processorsMillicores, long memoryBytes, long accelerators) {

    /** The empty amount. */
    public static final Resources NONE = new Resources(0, 0, 0);

    private static final long PERCENT = 100;

    /**
     * Creates an amount.
     *
     * @throws IllegalArgumentException if a value is negative
     */
    public Resources {
        if (processorsMillicores < 0 || memoryBytes < 0 || accelerators < 0) {
            throw new IllegalArgumentException(
                    "negative resource amount: " + processorsMillicores + ", " + memoryBytes + ", " + accelerators);
        }
    }

    /**
     * Returns the sum.
     *
     * @param other the other amount
     * @return the sum
     */
    public Resources plus(Resources other) {
        Objects.requireNonNull(other, "other is null");
        return new Resources(
                processorsMillicores + other.processorsMillicores,
                memoryBytes + other.memoryBytes,
                accelerators + other.accelerators);
    }

    /**
     * Returns the difference, at least 0 in each dimension.
     *
     * @param other the amount to subtract
     * @return the difference
     */
    public Resources minus(Resources other) {
        Objects.requireNonNull(other, "other is null");
        return new Resources(
                Math.max(0, processorsMillicores - other.processorsMillicores),
                Math.max(0, memoryBytes - other.memoryBytes),
                Math.max(0, accelerators - other.accelerators));
    }

    /**
     * Returns the smaller value in each dimension.
     *
     * @param other the other amount
     * @return the minimum
     */
    public Resources min(Resources other) {
        Objects.requireNonNull(other, "other is null");
        return new Resources(
                Math.min(processorsMillicores, other.processorsMillicores),
                Math.min(memoryBytes, other.memoryBytes),
                Math.min(accelerators, other.accelerators));
    }

    /**
     * Returns the larger value in each dimension.
     *
     * @param other the other amount
     * @return the maximum
     */
    public Resources max(Resources other) {
        Objects.requireNonNull(other, "other is null");
        return new Resources(
                Math.max(processorsMillicores, other.processorsMillicores),
                Math.max(memoryBytes, other.memoryBytes),
                Math.max(accelerators, other.accelerators));
    }

    /**
     * Returns a share of the processors and the memory. Accelerators are indivisible and are not scaled.
     *
     * @param percent the share in percent
     * @return the scaled amount
     */
    public Resources percent(long percent) {
        return new Resources(processorsMillicores * percent / PERCENT, memoryBytes / PERCENT * percent, accelerators);
    }

    /**
     * Returns whether this amount is at most another in every dimension.
     *
     * @param available the other amount
     * @return whether it fits
     */
    public boolean fitsIn(Resources available) {
        Objects.requireNonNull(available, "available is null");
        return processorsMillicores <= available.processorsMillicores
                && memoryBytes <= available.memoryBytes
                && accelerators <= available.accelerators;
    }

    /**
     * Returns how many times this amount fits in another.
     *
     * @param available the other amount
     * @return the number, {@link Long#MAX_VALUE} if this amount is empty
     */
    public long fitCount(Resources available) {
        Objects.requireNonNull(available, "available is null");
        long processors = fitCount(processorsMillicores, available.processorsMillicores);
        long memory = fitCount(memoryBytes, available.memoryBytes);
        return Math.min(Math.min(processors, memory), fitCount(accelerators, available.accelerators));
    }

    private static long fitCount(long amount, long available) {
        return amount == 0 ? Long.MAX_VALUE : available / amount;
    }

    /**
     * Returns the dominant share: the largest share of a total that this amount uses in any dimension.
     *
     * @param total the total
     * @return the dominant share, infinite if the amount uses a dimension that the total lacks
     */
    public double dominantShare(Resources total) {
        Objects.requireNonNull(total, "total is null");
        double processors = share(processorsMillicores, total.processorsMillicores);
        double memory = share(memoryBytes, total.memoryBytes);
        return Math.max(Math.max(processors, memory), share(accelerators, total.accelerators));
    }

    private static double share(long part, long whole) {
        if (part == 0) {
            return 0;
        }
        return whole == 0 ? Double.POSITIVE_INFINITY : (double) part / whole;
    }
}
