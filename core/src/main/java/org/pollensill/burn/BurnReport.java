package org.pollensill.burn;

import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.BiFunction;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.pollensill.platform.Row;

/**
 * Report on error budgets and burn rates.
 *
 * @param nowMs wall-clock time of the report
 * @param lines for each kind of work, one line for all zones followed by one for each zone
 * @param remarks limitations of the report, for example a store that does not answer
 */
public record BurnReport(long nowMs, List<BurnReportLine> lines, List<String> remarks) {

    private static final long MINUTE_MS = 60_000;
    private static final long HOUR_MS = 3_600_000;
    private static final long DAY_MS = 86_400_000;

    /**
     * Creates a report.
     *
     * @throws NullPointerException if an argument is null
     */
    public BurnReport {
        lines = List.copyOf(Objects.requireNonNull(lines, "lines is null"));
        remarks = List.copyOf(Objects.requireNonNull(remarks, "remarks is null"));
    }

    /**
     * Builds the report from the rows of all processes. A row holds the cumulative counts of one incarnation, so a
     * repeated or late write of a row does not count requests twice.
     *
     * @param rows rows of the table service
     * @param objectives returns the objective of a kind in a zone; the zone is empty for all zones
     * @param nowMs wall-clock time
     * @param remarks limitations of the report
     * @return the report
     */
    public static BurnReport of(
            Collection<Row> rows,
            BiFunction<BurnKey, String, BurnObjective> objectives,
            long nowMs,
            List<String> remarks) {
        Objects.requireNonNull(rows, "rows is null");
        Objects.requireNonNull(objectives, "objectives is null");
        List<BurnRow> parsed = new ArrayList<>();
        List<String> allRemarks = new ArrayList<>(remarks);
        for (Row row : rows) {
            Optional<BurnRow> parsedRow = BurnRow.parse(row.value());
            parsedRow.ifPresentOrElse(parsed::add, () -> allRemarks.add("row " + row.key() + " cannot be read"));
        }
        return build(parsed, objectives, nowMs, allRemarks);
    }

    static BurnReport build(
            List<BurnRow> rows,
            BiFunction<BurnKey, String, BurnObjective> objectives,
            long nowMs,
            List<String> remarks) {
        Map<BurnKey, Map<String, BurnSeries>> byZone = new TreeMap<>();
        for (BurnRow row : rows) {
            row.series().forEach((key, series) -> {
                Map<String, BurnSeries> zones = byZone.computeIfAbsent(key, absent -> new TreeMap<>());
                zones.computeIfAbsent(row.zone(), absent -> new BurnSeries()).add(series);
                zones.computeIfAbsent("", absent -> new BurnSeries()).add(series);
            });
        }
        List<BurnReportLine> lines = new ArrayList<>();
        byZone.forEach((key, zones) -> zones.forEach(
                (zone, series) -> lines.add(line(key, zone, objectives.apply(key, zone), series, nowMs))));
        return new BurnReport(nowMs, lines, remarks);
    }

    private static BurnReportLine line(
            BurnKey key, String zone, BurnObjective objective, BurnSeries series, long nowMs) {
        series.compact(nowMs);
        BurnCounts windowCounts = series.sum(objective.windowDays() * DAY_MS, nowMs);
        double errorBudget = 1 - objective.objective();
        Map<Verdict, Long> verdicts = new EnumMap<>(Verdict.class);
        for (Verdict verdict : Verdict.values()) {
            verdicts.put(verdict, windowCounts.of(verdict));
        }
        Map<Cause, Long> causes = new EnumMap<>(Cause.class);
        for (Cause cause : Cause.values()) {
            if (windowCounts.of(cause) > 0) {
                causes.put(cause, windowCounts.of(cause));
            }
        }
        Map<BurnWindow, Double> burnRates = new EnumMap<>(BurnWindow.class);
        Map<BurnWindow, Long> badByWindow = new EnumMap<>(BurnWindow.class);
        for (BurnWindow burnWindow : BurnWindow.values()) {
            BurnCounts counts = series.sum(burnWindow.lengthMs(), nowMs);
            burnRates.put(burnWindow, counts.total() == 0 ? 0 : counts.bad() / (counts.total() * errorBudget));
            badByWindow.put(burnWindow, counts.bad());
        }
        List<BurnAlert> alerts = new ArrayList<>();
        for (BurnAlert alert : BurnAlert.values()) {
            if (alert.isRaised(burnRates, badByWindow.get(alert.longWindow()), objective.windowDays())) {
                alerts.add(alert);
            }
        }
        double budgetLeft =
                windowCounts.total() == 0 ? 1 : 1 - windowCounts.bad() / (windowCounts.total() * errorBudget);
        return new BurnReportLine(
                key,
                zone,
                objective,
                verdicts,
                causes,
                budgetLeft,
                burnRates,
                alerts,
                points(series, HOUR_MS, 72, nowMs),
                points(series, MINUTE_MS, 60, nowMs));
    }

    private static List<BurnReportLine.Point> points(BurnSeries series, long widthMs, int count, long nowMs) {
        List<BurnReportLine.Point> points = new ArrayList<>();
        long lastStartMs = Math.floorDiv(nowMs, widthMs) * widthMs;
        for (int i = count - 1; i >= 0; i--) {
            long startMs = lastStartMs - i * widthMs;
            BurnCounts counts = series.between(startMs, startMs + widthMs);
            points.add(new BurnReportLine.Point(startMs, counts.total(), counts.bad()));
        }
        return points;
    }

    /**
     * Returns the report as JSON text.
     *
     * @return the JSON
     */
    public String toJson() {
        ObjectNode json = new ObjectMapper().createObjectNode();
        json.put("nowMs", nowMs);
        ArrayNode remarkNodes = json.putArray("remarks");
        remarks.forEach(remarkNodes::add);
        ArrayNode lineNodes = json.putArray("lines");
        for (BurnReportLine line : lines) {
            ObjectNode node = lineNodes.addObject();
            node.put("service", line.key().service()).put("kind", line.key().kind());
            node.put("zone", line.zone());
            node.put("objective", line.objective().objective());
            node.put("latencyBoundMs", line.objective().latencyBoundMs());
            node.put("windowDays", line.objective().windowDays());
            node.put("total", line.total());
            ObjectNode verdicts = node.putObject("verdicts");
            for (Verdict verdict : Verdict.values()) {
                verdicts.put(
                        verdict.name().toLowerCase(java.util.Locale.ROOT),
                        line.verdicts().get(verdict));
            }
            ObjectNode causes = node.putObject("causes");
            new TreeMap<>(line.causes()).forEach((cause, count) -> causes.put(BurnText.name(cause), count));
            node.put("budgetLeft", line.budgetLeft());
            ObjectNode burnRates = node.putObject("burn");
            for (BurnWindow burnWindow : BurnWindow.values()) {
                burnRates.put(burnWindow.label(), line.burnRates().get(burnWindow));
            }
            ArrayNode alerts = node.putArray("alerts");
            line.alerts().forEach(alert -> alerts.add(BurnText.name(alert)));
        }
        return json.toString();
    }
}
