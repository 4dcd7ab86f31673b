package org.pollensill.coordinator;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.pollensill.dispatch.CapacityBlocks;
import org.pollensill.dispatch.DispatchListener;
import org.pollensill.dispatch.JobOutcome;
import org.pollensill.dispatch.PlacementObstacle;
import org.pollensill.dispatch.WaitReport;
import org.pollensill.dispatch.WithoutRunCause;
import org.pollensill.dispatch.ZoneStatus;

/** Prometheus metrics of a coordinator. */
final class CoordinatorMetrics {

    /** Bucket bounds of the time histograms, from one call within a zone to a client's deadline. */
    private static final double[] TIME_BUCKETS_S = {0.005, 0.01, 0.02, 0.03, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5};

    private static final double MS_PER_S = 1_000;

    private static final long MILLICORE_MS_PER_CORE_S = 1_000_000;

    /** Upper bounds of the size classes of jobs, in core-seconds. */
    private static final long[] SIZE_BOUNDS_CORE_S = {1, 4, 16, 64, 256, 1_024};

    /** Maximum number of queues with a label value of their own. */
    private static final int MAX_QUEUE_LABELS = 32;

    private static final String OTHER_QUEUES = "other";

    private final Counter jobRequests;
    private final Counter lostRuns;
    private final Counter doneTasks;
    private final Counter commits;
    private final Histogram placementWait;
    private final Histogram commitTime;
    private final Counter quarantines;
    private final Counter fencedOrders;
    private final Counter unclaimedEnds;
    private final Counter answerTimeouts;
    private final Counter lateAnswers;
    private final Counter capacityReservations;
    private final Gauge waitingTasks;
    private final Gauge withoutRun;
    private final Counter waitExplanations;
    private final Counter jobOutcomes;
    private final Gauge capacityBlocks;
    private final Set<String> queueLabels = new HashSet<>();
    private final Gauge commitOverdue;
    private final Gauge jobsSetAside;
    private final Gauge leading;
    private final Gauge evacuatedZoneTasks;
    private final Gauge configurationVersion;

    CoordinatorMetrics(PrometheusRegistry registry) {
        jobRequests = Counter.builder()
                .name("pollensill_job_requests_total")
                .help("Requests of clients by call and outcome")
                .labelNames("call", "outcome")
                .register(registry);
        lostRuns = Counter.builder()
                .name("pollensill_runs_lost_total")
                .help("Runs that were lost or given up by cause")
                .labelNames("cause")
                .register(registry);
        doneTasks = Counter.builder()
                .name("pollensill_tasks_done_total")
                .help("Tasks that ended well")
                .register(registry);
        commits = Counter.builder()
                .name("pollensill_commits_total")
                .help("Commits of the leader by outcome")
                .labelNames("outcome")
                .register(registry);
        placementWait = Histogram.builder()
                .name("pollensill_placement_wait_seconds")
                .help("Time from the moment a task could start to its placement")
                .classicUpperBounds(TIME_BUCKETS_S)
                .classicOnly()
                .register(registry);
        commitTime = Histogram.builder()
                .name("pollensill_commit_seconds")
                .help("Time of the leader's commits")
                .classicUpperBounds(TIME_BUCKETS_S)
                .classicOnly()
                .register(registry);
        quarantines = Counter.builder()
                .name("pollensill_quarantines_total")
                .help("Quarantines of runners")
                .register(registry);
        fencedOrders = Counter.builder()
                .name("pollensill_fenced_orders_total")
                .help("Orders that a runner rejected because it has seen a higher fencing token")
                .register(registry);
        unclaimedEnds = Counter.builder()
                .name("pollensill_unclaimed_ends_total")
                .help("Ends of runs that were not expected on their runner, of unfinished tasks")
                .register(registry);
        answerTimeouts = Counter.builder()
                .name("pollensill_runner_answer_timeouts_total")
                .help("Orders and renewals to runners without an answer within the timeout")
                .register(registry);
        lateAnswers = Counter.builder()
                .name("pollensill_runner_late_answers_total")
                .help("Answers of runners that arrived after their timeout and were applied")
                .register(registry);
        capacityReservations = Counter.builder()
                .name("pollensill_capacity_reservations_total")
                .help("Reservations of a runner's free capacity for an overdue long-running task")
                .register(registry);
        waitingTasks = Gauge.builder()
                .name("pollensill_waiting_tasks")
                .help("Tasks that have waited for 2 s or more, by kind; 0 where this process does not lead")
                .labelNames("kind")
                .register(registry);
        withoutRun = Gauge.builder()
                .name("pollensill_long_running_without_run")
                .help("Long-running tasks without a run for 6 s or more, by cause; 0 where this process does not lead")
                .labelNames("cause")
                .register(registry);
        waitExplanations = Counter.builder()
                .name("pollensill_wait_explanations_total")
                .help("Explanations why a task waits, by the most frequent reason")
                .labelNames("reason")
                .register(registry);
        jobOutcomes = Counter.builder()
                .name("pollensill_job_outcomes_total")
                .help("Jobs with an objective by queue, upper bound of their work in core-seconds, and result")
                .labelNames("queue", "work", "result")
                .register(registry);
        capacityBlocks = Gauge.builder()
                .name("pollensill_capacity_block_millicores")
                .help("Processors: largest free and largest preemptible block of a runner, largest need that waits, "
                        + "all needs that wait, being freed by preemption; 0 where this process does not lead")
                .labelNames("block")
                .register(registry);
        commitOverdue = Gauge.builder()
                .name("pollensill_commit_overdue_seconds")
                .help("Time since the leader's last commit that took effect, 0 while its commits take effect")
                .register(registry);
        jobsSetAside = Gauge.builder()
                .name("pollensill_jobs_set_aside")
                .help("Jobs whose progress the store rejects; nothing of them is started")
                .register(registry);
        evacuatedZoneTasks = Gauge.builder()
                .name("pollensill_evacuated_zone_tasks")
                .help("Tasks that still run in a zone that is being emptied, by kind; absent for other zones")
                .labelNames("zone", "kind")
                .register(registry);
        leading = Gauge.builder()
                .name("pollensill_leading")
                .help("1 while this process leads")
                .register(registry);
        configurationVersion = Gauge.builder()
                .name("pollensill_configuration_version")
                .help("Version of the configuration in force")
                .register(registry);
    }

    void request(String call, int status) {
        jobRequests.labelValues(call, Integer.toString(status)).inc();
    }

    void placed(long waitedMs) {
        placementWait.observe(waitedMs / MS_PER_S);
    }

    void taskDone() {
        doneTasks.inc();
    }

    void runLost(DispatchListener.Cause cause) {
        lostRuns.labelValues(cause.name()).inc();
    }

    void commit(String outcome, long tookMs) {
        commits.labelValues(outcome).inc();
        commitTime.observe(tookMs / MS_PER_S);
    }

    void commitOverdue(long overdueMs) {
        commitOverdue.set(overdueMs / MS_PER_S);
    }

    void jobSetAside() {
        jobsSetAside.inc();
    }

    void jobResumed() {
        jobsSetAside.dec();
    }

    void quarantined() {
        quarantines.inc();
    }

    void capacityReserved() {
        capacityReservations.inc();
    }

    void answerTimedOut() {
        answerTimeouts.inc();
    }

    void answeredLate() {
        lateAnswers.inc();
    }

    void unclaimedEnd() {
        unclaimedEnds.inc();
    }

    void fenced() {
        fencedOrders.inc();
    }

    void waitingTasks(int longRunning, int other) {
        waitingTasks.labelValues("long_running").set(longRunning);
        waitingTasks.labelValues("other").set(other);
    }

    void withoutRun(Map<WithoutRunCause, Integer> tasksByCause) {
        for (WithoutRunCause cause : WithoutRunCause.values()) {
            withoutRun.labelValues(cause.name()).set(tasksByCause.getOrDefault(cause, 0));
        }
    }

    void waitExplained(WaitReport report) {
        waitExplanations.labelValues(reason(report)).inc();
    }

    private static String reason(WaitReport report) {
        if (report.slotReserved()) {
            return "SLOT_RESERVED";
        }
        if (report.fittingRunners() > 0) {
            return "FITS";
        }
        return report.mainObstacle().map(PlacementObstacle::name).orElse("NO_RUNNER");
    }

    void jobOutcome(JobOutcome outcome) {
        boolean known = queueLabels.contains(outcome.queue());
        if (!known && queueLabels.size() < MAX_QUEUE_LABELS) {
            known = queueLabels.add(outcome.queue());
        }
        jobOutcomes
                .labelValues(
                        known ? outcome.queue() : OTHER_QUEUES,
                        sizeClass(outcome.workMillicoreMs()),
                        outcome.result().name())
                .inc();
    }

    private static String sizeClass(long workMillicoreMs) {
        for (long bound : SIZE_BOUNDS_CORE_S) {
            if (workMillicoreMs <= bound * MILLICORE_MS_PER_CORE_S) {
                return Long.toString(bound);
            }
        }
        return "+Inf";
    }

    void capacityBlocks(CapacityBlocks blocks) {
        capacityBlocks.labelValues("free").set(blocks.largestFreeMillicores());
        capacityBlocks.labelValues("preemptible").set(blocks.largestPreemptibleMillicores());
        capacityBlocks.labelValues("waiting_largest").set(blocks.largestWaitingMillicores());
        capacityBlocks.labelValues("waiting_all").set(blocks.waitingMillicores());
        capacityBlocks.labelValues("being_freed").set(blocks.beingFreedMillicores());
    }

    void evacuating(List<ZoneStatus> zones) {
        evacuatedZoneTasks.clear();
        for (ZoneStatus status : zones) {
            evacuatedZoneTasks.labelValues(status.zone(), "long_running").set(status.longRunningTasks());
            evacuatedZoneTasks.labelValues(status.zone(), "other").set(status.otherTasks());
        }
    }

    void leading(boolean isLeader) {
        leading.set(isLeader ? 1 : 0);
        if (!isLeader) {
            waitingTasks(0, 0);
            withoutRun(Map.of());
            evacuating(List.of());
            capacityBlocks(new CapacityBlocks(0, 0, 0, 0, 0));
            commitOverdue(0);
            jobsSetAside.set(0);
        }
    }

    void configurationVersion(long version) {
        configurationVersion.set(version);
    }
}
