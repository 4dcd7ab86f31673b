package org.pollensill.burn;

import java.util.Objects;

/** Windows over which burn rates are measured. */
public enum BurnWindow {
    /** Five minutes. */
    MINUTES_5("5 min", 5 * 60_000L),
    /** Thirty minutes. */
    MINUTES_30("30 min", 30 * 60_000L),
    /** One hour. */
    HOUR_1("1 h", 3_600_000L),
    /** Six hours. */
    HOURS_6("6 h", 6 * 3_600_000L),
    /** Three days. */
    DAYS_3("3 d", 72 * 3_600_000L);

    private final String label;
    private final long lengthMs;

    BurnWindow(String label, long lengthMs) {
        this.label = Objects.requireNonNull(label, "label is null");
        this.lengthMs = lengthMs;
    }

    /**
     * Returns the display name.
     *
     * @return the label
     */
    public String label() {
        return label;
    }

    /**
     * Returns the length of the window.
     *
     * @return the length in milliseconds
     */
    public long lengthMs() {
        return lengthMs;
    }
}
