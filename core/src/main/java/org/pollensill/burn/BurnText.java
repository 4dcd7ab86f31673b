package org.pollensill.burn;

import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;

/** Formats the report as a plain-text table. */
public final class BurnText {

    private static final String ROW_FORMAT = "%-32s %-12s %9s %8s %8s %7s %7s %7s %7s %7s  %-20s %s%n";

    private BurnText() {}

    /**
     * Formats the report; lines with active alerts come first.
     *
     * @param report the report
     * @return the text
     */
    public static String write(BurnReport report) {
        StringBuilder text = new StringBuilder();
        text.append("service-level burn at ")
                .append(Instant.ofEpochMilli(report.nowMs()).truncatedTo(ChronoUnit.SECONDS))
                .append('\n');
        report.remarks().forEach(remark -> text.append("note: ").append(remark).append('\n'));
        if (report.lines().isEmpty()) {
            return text.append("no requests counted\n").toString();
        }
        text.append(String.format(
                Locale.ROOT,
                ROW_FORMAT,
                "SERVICE/KIND",
                "ZONE",
                "REQUESTS",
                "MET",
                "BUDGET",
                "5 min",
                "30 min",
                "1 h",
                "6 h",
                "3 d",
                "ALERTS",
                "CAUSES"));
        List<BurnReportLine> lines = new ArrayList<>(report.lines());
        lines.sort(Comparator.comparing((BurnReportLine line) -> line.alerts().isEmpty()));
        for (BurnReportLine line : lines) {
            text.append(String.format(
                    Locale.ROOT,
                    ROW_FORMAT,
                    line.key(),
                    line.zone().isEmpty() ? "all zones" : line.zone(),
                    line.total(),
                    percent(line.total() == 0 ? 1 : (double) line.verdicts().get(Verdict.MET) / line.total(), 2),
                    percent(line.budgetLeft(), 0),
                    burn(line, BurnWindow.MINUTES_5),
                    burn(line, BurnWindow.MINUTES_30),
                    burn(line, BurnWindow.HOUR_1),
                    burn(line, BurnWindow.HOURS_6),
                    burn(line, BurnWindow.DAYS_3),
                    line.alerts().isEmpty()
                            ? "-"
                            : line.alerts().stream().map(BurnText::name).collect(Collectors.joining(",")),
                    causes(line)));
        }
        return text.toString().replaceAll(" +\n", "\n");
    }

    static String percent(double share, int decimals) {
        return String.format(Locale.ROOT, "%." + decimals + "f%%", share * 100);
    }

    static String burn(BurnReportLine line, BurnWindow window) {
        return String.format(Locale.ROOT, "%.1f", line.burnRates().get(window));
    }

    static String causes(BurnReportLine line) {
        if (line.causes().isEmpty()) {
            return "-";
        }
        return line.causes().entrySet().stream()
                .sorted(Map.Entry.<Cause, Long>comparingByValue().reversed())
                .map(entry -> name(entry.getKey()) + " " + entry.getValue())
                .collect(Collectors.joining(", "));
    }

    static String name(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT).replace('_', ' ');
    }
}
