package org.pollensill.worker;

/** Band of a worker's latency-critical load. The interference of a batch kind depends on that load. */
public enum LoadBand {
    /** Less than 40% of the slots for latency-critical requests are in use. */
    LOW,
    /** At least 40% and less than 75%. */
    MEDIUM,
    /** At least 75%. */
    HIGH;

    private static final int MEDIUM_MIN_PERCENT = 40;
    private static final int HIGH_MIN_PERCENT = 75;

    /**
     * Returns the band of a load.
     *
     * @param loadPercent the load in percent of the slots
     * @return the band
     */
    public static LoadBand of(int loadPercent) {
        if (loadPercent < MEDIUM_MIN_PERCENT) {
            return LOW;
        }
        return loadPercent < HIGH_MIN_PERCENT ? MEDIUM : HIGH;
    }
}
