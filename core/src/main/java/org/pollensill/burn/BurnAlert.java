package org.pollensill.burn;

import java.util.Map;
import java.util.Objects;

/**
 * Multi-window burn-rate alerts. The long window detects that a significant part of the error budget was consumed; the
 * short window detects that it is still being consumed, so that the alert is cleared soon after the fault ends.
 */
public enum BurnAlert {
    /** 2% of the error budget consumed within 1 h. */
    FAST(BurnWindow.HOUR_1, BurnWindow.MINUTES_5, 0.02),
    /** 5% of the error budget consumed within 6 h. */
    MEDIUM(BurnWindow.HOURS_6, BurnWindow.MINUTES_30, 0.05),
    /** 10% of the error budget consumed within 3 days. */
    SLOW(BurnWindow.DAYS_3, BurnWindow.HOURS_6, 0.10);

    /** Fewer bad requests in the long window raise no alert: at low traffic they are not significant. */
    static final long MIN_BAD_REQUESTS = 5;

    private static final long DAY_MS = 86_400_000L;

    private final BurnWindow longWindow;
    private final BurnWindow shortWindow;
    private final double budgetShare;

    BurnAlert(BurnWindow longWindow, BurnWindow shortWindow, double budgetShare) {
        this.longWindow = Objects.requireNonNull(longWindow, "longWindow is null");
        this.shortWindow = Objects.requireNonNull(shortWindow, "shortWindow is null");
        this.budgetShare = budgetShare;
    }

    /**
     * Returns the long window.
     *
     * @return the window
     */
    public BurnWindow longWindow() {
        return longWindow;
    }

    /**
     * Returns the short window.
     *
     * @return the window
     */
    public BurnWindow shortWindow() {
        return shortWindow;
    }

    /**
     * Returns the min burn rate that raises the alert: the rate that consumes the alert's share of the error budget
     * within the long window, but at least 1, because a lower rate does not exhaust the budget within the objective's
     * window.
     *
     * @param windowDays window of the objective, in days
     * @return the burn rate
     */
    public double threshold(int windowDays) {
        return Math.max(1, budgetShare * windowDays * DAY_MS / longWindow.lengthMs());
    }

    /**
     * Returns whether the alert is raised.
     *
     * @param burnRates burn rate by window
     * @param badInLongWindow number of bad requests in the long window
     * @param windowDays window of the objective, in days
     * @return whether both windows reach the threshold, and the long one has enough bad requests
     */
    public boolean isRaised(Map<BurnWindow, Double> burnRates, long badInLongWindow, int windowDays) {
        double threshold = threshold(windowDays);
        return badInLongWindow >= MIN_BAD_REQUESTS
                && longWindow.lengthMs() <= windowDays * DAY_MS
                && burnRates.get(longWindow) >= threshold
                && burnRates.get(shortWindow) >= threshold;
    }
}
