package org.pollensill.burn;

import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * Error budget and burn rates of one kind of work, in one zone or in all zones.
 *
 * @param key service and kind
 * @param zone the zone, empty for all zones
 * @param objective the objective
 * @param verdicts number of requests in the objective's window by verdict
 * @param causes number of bad requests in the objective's window by cause
 * @param budgetLeft remaining share of the error budget, negative when it is exceeded
 * @param burnRates burn rate by window; a rate of 1 consumes the error budget exactly over the objective's window
 * @param alerts active alerts
 * @param hours points of the last 72 hours, in ascending order of time
 * @param minutes points of the last 60 minutes, in ascending order of time
 */
public record BurnReportLine(
        BurnKey key,
        String zone,
        BurnObjective objective,
        Map<Verdict, Long> verdicts,
        Map<Cause, Long> causes,
        double budgetLeft,
        Map<BurnWindow, Double> burnRates,
        List<BurnAlert> alerts,
        List<Point> hours,
        List<Point> minutes) {

    /**
     * Request counts of one period.
     *
     * @param startMs start of the period
     * @param total number of requests
     * @param bad number of requests that consumed error budget
     */
    public record Point(long startMs, long total, long bad) {}

    /**
     * Creates a line.
     *
     * @throws NullPointerException if an argument is null
     */
    public BurnReportLine {
        Objects.requireNonNull(key, "key is null");
        Objects.requireNonNull(zone, "zone is null");
        Objects.requireNonNull(objective, "objective is null");
        verdicts = Map.copyOf(Objects.requireNonNull(verdicts, "verdicts is null"));
        causes = Map.copyOf(Objects.requireNonNull(causes, "causes is null"));
        burnRates = Map.copyOf(Objects.requireNonNull(burnRates, "burn is null"));
        alerts = List.copyOf(Objects.requireNonNull(alerts, "alerts is null"));
        hours = List.copyOf(Objects.requireNonNull(hours, "hours is null"));
        minutes = List.copyOf(Objects.requireNonNull(minutes, "minutes is null"));
    }

    /**
     * Returns the number of requests in the objective's window.
     *
     * @return the number
     */
    public long total() {
        return verdicts.values().stream().mapToLong(Long::longValue).sum();
    }
}
