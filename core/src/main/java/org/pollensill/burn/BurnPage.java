package org.pollensill.burn;

import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Formats the report as a self-contained HTML page without scripts or external resources. */
public final class BurnPage {

    private static final int PLOT_WIDTH_PX = 432;
    private static final int PLOT_HEIGHT_PX = 64;

    /** Higher burn rates are clipped, so that lower ones remain visible. */
    private static final double MAX_PLOTTED_BURN_RATE = 20;

    private static final Map<Cause, String> CAUSE_COLORS = Map.of(
            Cause.OTHER, "#8a8f98",
            Cause.FLOOD, "#2f6fb5",
            Cause.NOISY_COLOCATION, "#c9761b",
            Cause.UPSTREAM, "#a8323e",
            Cause.TAKEOVER, "#6b4fa0",
            Cause.STORE, "#39803f",
            Cause.LINK, "#1d8a8a",
            Cause.CALLER, "#b8a33c");

    private static final String STYLE = "body{font:14px system-ui,sans-serif;margin:24px;color:#1c2126;background:#fff}"
            + "h1{font-size:20px;margin:0 0 4px}h2{font-size:15px;margin:0}p{margin:4px 0 12px;color:#555}"
            + "section{border:1px solid #d5d9de;border-left:6px solid #39803f;border-radius:4px;padding:10px 14px;"
            + "margin:0 0 12px;max-width:960px}section.alert{border-left-color:#a8323e;background:#fdf4f4}"
            + ".row{display:flex;gap:24px;flex-wrap:wrap;align-items:flex-start}.big{font-size:26px;font-weight:600}"
            + "table{border-collapse:collapse;font-size:13px}td,th{padding:2px 10px 2px 0;text-align:right}"
            + "td:first-child,th:first-child{text-align:left}small{color:#555}svg text{font-size:10px;fill:#555}"
            + ".badge{background:#a8323e;color:#fff;border-radius:3px;padding:1px 7px;margin-left:8px;font-size:12px}"
            + ".key i{display:inline-block;width:10px;height:10px;margin:0 4px 0 10px}";

    private BurnPage() {}

    /**
     * Formats the page; kinds with active alerts come first.
     *
     * @param report the report
     * @return the HTML
     */
    public static String write(BurnReport report) {
        StringBuilder html = new StringBuilder();
        html.append("<!DOCTYPE html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>Service-level burn</title>")
                .append("<style>")
                .append(STYLE)
                .append("</style></head><body><h1>Service-level burn</h1><p>")
                .append(Instant.ofEpochMilli(report.nowMs()).truncatedTo(ChronoUnit.SECONDS))
                .append(" · ")
                .append(summary(report))
                .append("</p>");
        report.remarks()
                .forEach(remark ->
                        html.append("<p><b>Note:</b> ").append(escape(remark)).append("</p>"));
        appendLegend(html);
        List<BurnReportLine> kinds = new ArrayList<>(
                report.lines().stream().filter(line -> line.zone().isEmpty()).toList());
        kinds.sort(Comparator.comparing((BurnReportLine line) -> alertCount(report, line) == 0)
                .thenComparingDouble(BurnReportLine::budgetLeft));
        kinds.forEach(line -> appendSection(html, report, line));
        return html.append("</body></html>").toString();
    }

    private static String summary(BurnReport report) {
        long kindsWithAlerts = report.lines().stream()
                .filter(line -> line.zone().isEmpty() && alertCount(report, line) > 0)
                .count();
        long kinds =
                report.lines().stream().filter(line -> line.zone().isEmpty()).count();
        return kindsWithAlerts == 0
                ? "no alert, " + kinds + " kinds of work"
                : kindsWithAlerts + " of " + kinds + " kinds of work have alerts";
    }

    /** Counts the alerts of a kind over all zones, since the sum of all zones can hide the alert of one zone. */
    private static long alertCount(BurnReport report, BurnReportLine kind) {
        return report.lines().stream()
                .filter(line -> line.key().equals(kind.key()))
                .mapToLong(line -> line.alerts().size())
                .sum();
    }

    private static void appendLegend(StringBuilder html) {
        html.append("<p class=\"key\">Causes:");
        for (Cause cause : Cause.values()) {
            html.append("<i style=\"background:")
                    .append(CAUSE_COLORS.get(cause))
                    .append("\"></i>")
                    .append(BurnText.name(cause));
        }
        html.append(" · A burn rate of 1 consumes the error budget exactly over the objective's window.</p>");
    }

    private static void appendSection(StringBuilder html, BurnReport report, BurnReportLine line) {
        html.append(alertCount(report, line) > 0 ? "<section class=\"alert\">" : "<section>");
        html.append("<h2>").append(escape(line.key().toString()));
        line.alerts()
                .forEach(alert -> html.append("<span class=\"badge\">")
                        .append(BurnText.name(alert))
                        .append(" burn</span>"));
        html.append("</h2><small>")
                .append(BurnText.percent(line.objective().objective(), 2))
                .append(" within ")
                .append(line.objective().latencyBoundMs())
                .append(" ms over ")
                .append(line.objective().windowDays())
                .append(" days · ")
                .append(line.total())
                .append(" requests</small><div class=\"row\"><div><div class=\"big\">")
                .append(BurnText.percent(line.budgetLeft(), 0))
                .append("</div><small>of the error budget remaining</small><br>");
        appendBudgetBar(html, line);
        html.append("</div><div><small>burn rate, last 72 h</small><br>");
        appendBurnRatePlot(html, line.hours(), line.objective(), "72 h ago");
        html.append("</div><div><small>burn rate, last 60 min</small><br>");
        appendBurnRatePlot(html, line.minutes(), line.objective(), "60 min ago");
        html.append("</div><div><small>bad requests by cause</small><br>");
        appendCauseBar(html, line);
        html.append("</div></div>");
        appendTable(html, report, line);
        html.append("</section>");
    }

    private static void appendBudgetBar(StringBuilder html, BurnReportLine line) {
        double clampedBudgetLeft = Math.max(0, Math.min(1, line.budgetLeft()));
        html.append(String.format(
                Locale.ROOT,
                "<svg width=\"160\" height=\"14\" role=\"img\" aria-label=\"remaining error budget\">"
                        + "<rect width=\"160\" height=\"14\" fill=\"#e6e8eb\"/>"
                        + "<rect width=\"%.1f\" height=\"14\" fill=\"%s\"/></svg>",
                160 * clampedBudgetLeft,
                clampedBudgetLeft > 0.25 ? "#39803f" : "#a8323e"));
    }

    private static void appendBurnRatePlot(
            StringBuilder html, List<BurnReportLine.Point> points, BurnObjective objective, String startLabel) {
        double maxBurnRate = 2;
        List<Double> burnRates = new ArrayList<>();
        for (BurnReportLine.Point point : points) {
            double burnRate = point.total() == 0 ? 0 : point.bad() / (point.total() * (1 - objective.objective()));
            burnRates.add(Math.min(MAX_PLOTTED_BURN_RATE, burnRate));
            maxBurnRate = Math.max(maxBurnRate, burnRates.get(burnRates.size() - 1));
        }
        double barWidthPx = (double) PLOT_WIDTH_PX / points.size();
        html.append(String.format(
                Locale.ROOT,
                "<svg width=\"%d\" height=\"%d\" role=\"img\" aria-label=\"burn rate over time\">",
                PLOT_WIDTH_PX,
                PLOT_HEIGHT_PX + 14));
        for (int i = 0; i < burnRates.size(); i++) {
            double barHeightPx = burnRates.get(i) / maxBurnRate * PLOT_HEIGHT_PX;
            html.append(String.format(
                    Locale.ROOT,
                    "<rect x=\"%.1f\" y=\"%.1f\" width=\"%.1f\" height=\"%.1f\" fill=\"%s\"/>",
                    i * barWidthPx,
                    PLOT_HEIGHT_PX - barHeightPx,
                    Math.max(1, barWidthPx - 1),
                    barHeightPx,
                    burnRates.get(i) > 1 ? "#a8323e" : "#7aa47d"));
        }
        double rateOneY = PLOT_HEIGHT_PX - PLOT_HEIGHT_PX / maxBurnRate;
        html.append(String.format(
                Locale.ROOT,
                "<line x1=\"0\" x2=\"%d\" y1=\"%.1f\" y2=\"%.1f\" stroke=\"#1c2126\" stroke-dasharray=\"3 3\"/>"
                        + "<text x=\"2\" y=\"%.1f\">burn rate 1</text><text x=\"0\" y=\"%d\">%s</text>"
                        + "<text x=\"%d\" y=\"%d\" text-anchor=\"end\">now, max %.1f%s</text></svg>",
                PLOT_WIDTH_PX,
                rateOneY,
                rateOneY,
                rateOneY - 2,
                PLOT_HEIGHT_PX + 12,
                startLabel,
                PLOT_WIDTH_PX,
                PLOT_HEIGHT_PX + 12,
                burnRates.stream().mapToDouble(Double::doubleValue).max().orElse(0),
                maxBurnRate >= MAX_PLOTTED_BURN_RATE ? " or more" : ""));
    }

    private static void appendCauseBar(StringBuilder html, BurnReportLine line) {
        long bad = line.causes().values().stream().mapToLong(Long::longValue).sum();
        if (bad == 0) {
            html.append("none");
            return;
        }
        html.append("<svg width=\"220\" height=\"14\" role=\"img\" aria-label=\"causes of bad requests\">");
        double xPx = 0;
        for (Cause cause : Cause.values()) {
            double widthPx = 220.0 * line.causes().getOrDefault(cause, 0L) / bad;
            html.append(String.format(
                    Locale.ROOT,
                    "<rect x=\"%.1f\" width=\"%.1f\" height=\"14\" fill=\"%s\"/>",
                    xPx,
                    widthPx,
                    CAUSE_COLORS.get(cause)));
            xPx += widthPx;
        }
        html.append("</svg><br><small>").append(BurnText.causes(line)).append("</small>");
    }

    private static void appendTable(StringBuilder html, BurnReport report, BurnReportLine kind) {
        html.append("<table><tr><th>zone</th><th>requests</th><th>met</th><th>late</th><th>refused</th><th>failed</th>")
                .append("<th>error budget remaining</th>");
        for (BurnWindow window : BurnWindow.values()) {
            html.append("<th>").append(window.label()).append("</th>");
        }
        html.append("<th>alerts</th></tr>");
        for (BurnReportLine line : report.lines()) {
            if (!line.key().equals(kind.key())) {
                continue;
            }
            html.append("<tr><td>")
                    .append(line.zone().isEmpty() ? "all zones" : escape(line.zone()))
                    .append("</td><td>")
                    .append(line.total());
            for (Verdict verdict : Verdict.values()) {
                html.append("</td><td>").append(line.verdicts().get(verdict));
            }
            html.append("</td><td>").append(BurnText.percent(line.budgetLeft(), 0));
            for (BurnWindow window : BurnWindow.values()) {
                html.append("</td><td>").append(BurnText.burn(line, window));
            }
            html.append("</td><td>");
            line.alerts().forEach(alert -> html.append(BurnText.name(alert)).append(' '));
            html.append("</td></tr>");
        }
        html.append("</table>");
    }

    private static String escape(String text) {
        return text.replace("&", "&amp;")
                .replace("<", "&lt;")
                .replace(">", "&gt;")
                .replace("\"", "&quot;");
    }
}
