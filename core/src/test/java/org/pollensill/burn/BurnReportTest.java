package org.pollensill.burn;

import java.util.List;
import java.util.Map;
import java.util.Random;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.pollensill.platform.Row;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Checks the sums, the alerts and the formats of the report. */
class BurnReportTest {

    private static final long NOW_MS = 1_800_000_000_000L;
    private static final long MINUTE_MS = 60_000;
    private static final BurnKey SEAM_CHECK = new BurnKey("balcao-reparo", "seam-check");
    private static final BurnObjective OBJECTIVE = new BurnObjective(0.99, 250, 28);

    private static void add(BurnSeries series, long minutesAgo, long met, long late) {
        long atMs = NOW_MS - minutesAgo * MINUTE_MS;
        series.add(BurnCounts.cell(Verdict.MET, Cause.OTHER), met, atMs);
        series.add(BurnCounts.cell(Verdict.LATE, Cause.FLOOD), late, atMs);
    }

    private static Row row(String zone, String process, BurnSeries series) {
        BurnRow row = new BurnRow(zone, 1, NOW_MS, Map.of(SEAM_CHECK, series), Map.of());
        return new Row(BurnRow.ROW_PREFIX + zone + "/" + process, 1, row.toJson());
    }

    private static BurnReport report(Row... rows) {
        return BurnReport.of(List.of(rows), (key, zone) -> OBJECTIVE, NOW_MS, List.of());
    }

    @Nested
    class Alerts {

        /** Guards against alerts that are raised late, persist after the fault, or are based on a few requests. */
        @ParameterizedTest
        @CsvSource({
            // bad percent, from minutes ago, to minutes ago, requests per minute, alerts. A steady 1% is a burn
            // rate of 1; the thresholds at 28 days are 13.44 over 1 h and 5 min, 5.6 over 6 h and 30 min, 1 over 3 d
            // and
            // 6 h.
            "0, 4320, 0, 10, ''",
            "0.9, 4320, 0, 1000, ''",
            "100, 10, 0, 100, FAST",
            "100, 60, 10, 100, MEDIUM SLOW",
            "20, 30, 0, 100, ''",
            "30, 30, 0, 100, FAST",
            "10, 360, 0, 100, MEDIUM",
            "13, 360, 0, 100, MEDIUM SLOW",
            "20, 360, 60, 100, SLOW",
            "2, 4320, 0, 100, SLOW",
            "100, 3, 0, 1, ''",
        })
        void shouldBeRaisedWhenBothWindowsReachTheThreshold(
                double badPercent, int fromMinutesAgo, int toMinutesAgo, int perMinute, String expected) {
            BurnSeries series = new BurnSeries();
            for (int minutesAgo = 4_319; minutesAgo >= 0; minutesAgo--) {
                long bad = minutesAgo < fromMinutesAgo && minutesAgo >= toMinutesAgo
                        ? Math.round(perMinute * badPercent / 100)
                        : 0;
                add(series, minutesAgo, perMinute - bad, bad);
            }
            List<String> raised = report(row("caxias", "e1/1", series)).lines().get(0).alerts().stream()
                    .map(Enum::name)
                    .toList();
            assertEquals(expected, String.join(" ", raised));
        }

        /** Guards against thresholds that do not scale with the window of the objective. */
        @ParameterizedTest
        @CsvSource({"FAST, 28, 13.44", "MEDIUM, 28, 5.6", "SLOW, 28, 1", "FAST, 1, 1", "FAST, 90, 43.2"})
        void shouldScaleWithTheObjectivesWindow(BurnAlert alert, int windowDays, double expected) {
            assertEquals(expected, alert.threshold(windowDays), 1e-9);
        }
    }

    @Nested
    class Sums {

        /** Guards against zones that are missing from the sum, and budgets that do not depend on the objective. */
        @Test
        void shouldSumEachZoneAndAllZones() {
            BurnSeries good = new BurnSeries();
            add(good, 100, 900, 0);
            BurnSeries bad = new BurnSeries();
            add(bad, 100, 95, 5);
            List<BurnReportLine> lines = report(row("caxias", "e1/1", good), row("vacaria", "e2/1", bad))
                    .lines();
            assertEquals(
                    List.of("", "caxias", "vacaria"),
                    lines.stream().map(BurnReportLine::zone).toList());
            assertEquals(1_000, lines.get(0).total());
            assertEquals(0.5, lines.get(0).budgetLeft(), 1e-9);
            assertEquals(1, lines.get(1).budgetLeft(), 1e-9);
            assertEquals(-4, lines.get(2).budgetLeft(), 1e-9);
            assertEquals(Map.of(Cause.FLOOD, 5L), lines.get(0).causes());
        }

        /** Guards against counts that change when old buckets are merged, or encoded and decoded. */
        @Test
        void shouldKeepSumsWhenBucketsAreMerged() {
            Random random = new Random(6101);
            BurnSeries series = new BurnSeries();
            long total = 0;
            for (int i = 0; i < 5_000; i++) {
                int count = random.nextInt(5);
                total += count;
                add(series, random.nextInt(27 * 24 * 60), count, 0);
            }
            BurnCounts lastHour = series.sum(BurnWindow.HOUR_1.lengthMs(), NOW_MS);
            series.compact(NOW_MS);
            series.compact(NOW_MS);
            BurnSeries decoded = BurnSeries.decode(series.encode());
            assertEquals(total, decoded.sum(28 * 86_400_000L, NOW_MS).total());
            assertEquals(
                    lastHour.total(),
                    decoded.sum(BurnWindow.HOUR_1.lengthMs(), NOW_MS).total());
            assertTrue(decoded.size() < 65 + 30 + 76 + 28, "buckets: " + decoded.size());
        }

        /** Guards against an unreadable row, for example of a newer version, that makes the whole report fail. */
        @Test
        void shouldListUnreadableRowsInTheRemarks() {
            BurnSeries series = new BurnSeries();
            add(series, 1, 7, 0);
            Row broken = new Row(BurnRow.ROW_PREFIX + "caxias/e9/1", 1, "{\"series\":{\"x\":3}}");
            BurnReport report = report(broken, row("caxias", "e1/1", series));
            assertEquals(List.of("row burn/row/caxias/e9/1 cannot be read"), report.remarks());
            assertEquals(7, report.lines().get(0).total());
        }
    }

    @Nested
    class Formats {

        /** Guards against a page that loads other files, or runs a script from a service name. */
        @Test
        void shouldWriteASelfContainedPage() {
            BurnSeries series = new BurnSeries();
            add(series, 2, 50, 50);
            BurnRow row = new BurnRow("caxias", 1, NOW_MS, Map.of(new BurnKey("<script>", "k"), series), Map.of());
            String page = BurnPage.write(report(new Row(BurnRow.ROW_PREFIX + "caxias/e1/1", 1, row.toJson())));
            assertTrue(page.contains("<svg") && page.contains("fast burn"), page);
            assertTrue(page.contains("&lt;script&gt;/k"), page);
            assertFalse(page.contains("<script") || page.contains("http") || page.contains("src="), page);
        }

        /** Guards against an alert that is missing from the text or the JSON. */
        @Test
        void shouldShowAlertsInTextAndJson() {
            BurnSeries series = new BurnSeries();
            add(series, 2, 50, 50);
            BurnReport report = report(row("caxias", "e1/1", series));
            assertTrue(BurnText.write(report).contains("fast,medium,slow"), BurnText.write(report));
            assertTrue(report.toJson().contains("\"alerts\":[\"fast\",\"medium\",\"slow\"]"), report.toJson());
        }
    }
}
