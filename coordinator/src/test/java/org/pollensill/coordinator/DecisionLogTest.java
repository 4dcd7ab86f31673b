package org.pollensill.coordinator;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.prometheus.metrics.model.snapshots.CounterSnapshot;
import io.prometheus.metrics.model.snapshots.GaugeSnapshot;
import io.prometheus.metrics.model.snapshots.MetricSnapshot;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollensill.dispatch.JobOutcome;
import org.pollensill.dispatch.PlacementObstacle;
import org.pollensill.dispatch.WaitReport;
import org.pollensill.job.TaskName;
import org.pollensill.worker.Resources;

import static org.junit.jupiter.api.Assertions.assertEquals;

class DecisionLogTest {

    private static final TaskName TASK = new TaskName("aaaaaaaaaaaaaaaa", 0, 0, 7);

    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final CoordinatorMetrics metrics = new CoordinatorMetrics(registry);
    private final DecisionLog log = new DecisionLog(metrics, () -> {});

    private static WaitReport report(Map<PlacementObstacle, Integer> runners, int fits, boolean slotReserved) {
        return new WaitReport(TASK, true, 2_500, 3, new Resources(500, 1_024, 1), runners, fits, slotReserved, 12);
    }

    private MetricSnapshot metric(String name) {
        return registry.scrape(name::equals).get(0);
    }

    private double gauge(String kind) {
        return ((GaugeSnapshot) metric("pollensill_waiting_tasks"))
                .getDataPoints().stream()
                        .filter(point -> kind.equals(point.getLabels().get("kind")))
                        .findFirst()
                        .orElseThrow()
                        .getValue();
    }

    private double explanations(String reason) {
        return ((CounterSnapshot) metric("pollensill_wait_explanations"))
                .getDataPoints().stream()
                        .filter(point -> reason.equals(point.getLabels().get("reason")))
                        .findFirst()
                        .orElseThrow()
                        .getValue();
    }

    @Nested
    class Fields {

        @Test
        void shouldPrintOnlyReasonsThatOccur() {
            Map<PlacementObstacle, Integer> runners =
                    Map.of(PlacementObstacle.MEMORY, 4, PlacementObstacle.DRAINING, 0, PlacementObstacle.NO_MATCH, 2);
            List<Object> expected = List.of(
                    "task",
                    TASK,
                    "longRunning",
                    true,
                    "waitedMs",
                    2_500L,
                    "waitingTasks",
                    3,
                    "needMillicores",
                    500L,
                    "needMemoryBytes",
                    1_024L,
                    "needAccelerators",
                    1L,
                    "slotReserved",
                    false,
                    "overtaken",
                    12L,
                    "fits",
                    0,
                    "NO_MATCH",
                    2,
                    "MEMORY",
                    4);
            assertEquals(expected, DecisionLog.keyValues(report(runners, 0, false)));
        }
    }

    @Nested
    class Metrics {

        @Test
        void shouldCountExplanationsByMostFrequentReason() {
            log.waiting(report(Map.of(PlacementObstacle.NO_MATCH, 9, PlacementObstacle.MEMORY, 2), 0, false));
            log.waiting(report(Map.of(PlacementObstacle.PROCESSORS, 3, PlacementObstacle.MEMORY, 2), 0, false));
            log.waiting(report(Map.of(PlacementObstacle.NO_MATCH, 9), 0, false));
            log.waiting(report(Map.of(), 0, false));
            log.waiting(report(Map.of(PlacementObstacle.PROCESSORS, 3), 1, false));
            log.waiting(report(Map.of(PlacementObstacle.PROCESSORS, 3), 1, true));
            for (String reason : List.of("MEMORY", "PROCESSORS", "NO_MATCH", "NO_RUNNER", "FITS", "SLOT_RESERVED")) {
                assertEquals(1, explanations(reason), reason);
            }
        }

        @Test
        void shouldCountQuarantinesAndFencedOrders() {
            log.quarantined("r1", 3, 1_000);
            log.quarantined("r2", 3, 1_000);
            log.fenced("r1");
            assertEquals(2, counter("pollensill_quarantines"));
            assertEquals(1, counter("pollensill_fenced_orders"));
        }

        private double counter(String name) {
            return ((CounterSnapshot) metric(name)).getDataPoints().get(0).getValue();
        }

        @Test
        void shouldShowNoWaitingTasksOnceThisProcessNoLongerLeads() {
            metrics.leading(true);
            log.waitingTasks(28, 5);
            assertEquals(28, gauge("long_running"));
            assertEquals(5, gauge("other"));
            metrics.leading(false);
            assertEquals(0, gauge("long_running"));
            assertEquals(0, gauge("other"));
        }
    }

    @Nested
    class Outcomes {

        private JobOutcome outcome(String queue, long workMillicoreMs) {
            return new JobOutcome(
                    "aaaaaaaaaaaaaaaa",
                    queue,
                    JobOutcome.Result.LATE,
                    2_000,
                    1_400,
                    workMillicoreMs,
                    1,
                    4,
                    4,
                    0,
                    20_000,
                    900,
                    Optional.of(TASK));
        }

        private double outcomes(String queue, String work) {
            return ((CounterSnapshot) metric("pollensill_job_outcomes"))
                    .getDataPoints().stream()
                            .filter(point -> queue.equals(point.getLabels().get("queue")))
                            .filter(point -> work.equals(point.getLabels().get("work")))
                            .filter(point -> "LATE".equals(point.getLabels().get("result")))
                            .findFirst()
                            .orElseThrow()
                            .getValue();
        }

        @Test
        void shouldCountJobsBySizeClass() {
            log.outcome(outcome("r-1", 16_000_000));
            log.outcome(outcome("r-1", 16_000_001));
            log.outcome(outcome("r-1", 1_024_000_001));
            assertEquals(1, outcomes("r-1", "16"));
            assertEquals(1, outcomes("r-1", "64"));
            assertEquals(1, outcomes("r-1", "+Inf"));
        }

        @Test
        void shouldBoundTheNumberOfQueueLabels() {
            for (int i = 0; i < 40; i++) {
                log.outcome(outcome("r-" + i, 1));
            }
            log.outcome(outcome("r-0", 1));
            assertEquals(2, outcomes("r-0", "1"));
            assertEquals(8, outcomes("other", "1"));
        }
    }
}
