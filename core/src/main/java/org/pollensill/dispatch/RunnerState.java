package org.pollensill.dispatch;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

import org.pollensill.job.TaskName;
import org.pollensill.job.Trait;
import org.pollensill.runner.RunnerAddress;
import org.pollensill.runner.RunnerClock;
import org.pollensill.runner.RunnerEntry;
import org.pollensill.worker.Resources;

/** In-memory state of one incarnation of a runner, with the tasks that it runs or may run. */
final class RunnerState {

    /** Expected utilization of the processors reserved by a latency-critical task, which is sized for its peak load. */
    private static final double LATENCY_CRITICAL_UTILIZATION = 0.5;

    /** Time after the first report of an incarnation in which the list is read early for its entry. */
    private static final long EARLY_LIST_READ_MS = 1_000;

    final String id;
    long incarnationStartMs;
    /** Time of the first report of the incarnation, where that came before its list entry. */
    long incarnationKnownAtMs = Long.MIN_VALUE / 2;

    /** The runner's list entry, empty where the runner is only known from stored placements. */
    Optional<RunnerEntry> entry = Optional.empty();

    boolean listed;
    /** Number of reads of the list in a row that showed an earlier incarnation than the runner has reported. */
    int olderEntryReads;

    /** Whether the availability zone of the runner is being emptied, so that nothing starts on it. */
    boolean zoneEvacuated;

    /** Time from which the runner is used again after its zone was taken back. */
    long usableFromMs = Long.MIN_VALUE / 2;

    final Map<TaskName, TaskState> tasks = new LinkedHashMap<>();
    /** Number of runs in the latest report that belong to no task on the runner; they are being stopped. */
    int unassignedRuns;

    /** Whether the runner refuses a start that exceeds its capacity, and needs no protection by the leader. */
    boolean guardsCapacity;

    /** Members of gangs whose former runs the runner has reported to be at work; they are being stopped. */
    final Set<TaskState> strayRuns = new HashSet<>();

    Resources reservedResources = Resources.NONE;
    /** The part of the reserved resources that belongs to long-running tasks. */
    Resources longRunningResources = Resources.NONE;

    /** Capacity that is withheld for waiting tasks for which it is being freed. */
    Resources claimedResources = Resources.NONE;

    /** Time before which nothing is claimed, since a claim has expired. */
    long claimPauseEndMs;

    /** The waiting task for which the free capacity is reserved, null where there is none. */
    TaskState reservedFor;

    /** Time before which the reserved task is not expected to fit, so that shorter tasks may use the capacity. */
    long reservedFromMs;

    long bestEffortMillicores;
    long latencyCriticalMillicores;
    /** Smoothed share of the processors used by best-effort tasks, by image. */
    final Map<String, Double> recentShares = new LinkedHashMap<>();

    long sharesUpdatedAtMs;
    /** Number of latency-critical tasks, by image. */
    final Map<String, Integer> latencyCriticalImages = new LinkedHashMap<>();
    /** Cached headroom beside the best-effort tasks, by latency-critical image; null when invalidated. */
    Map<String, Double> headroom;

    /** Whether the runner has accepted this leader's fencing token. */
    boolean fenceConfirmed;

    Optional<RunnerClock> clock = Optional.empty();
    /** Latest end of any lease that the runner may have been granted, on its own clock. */
    long leaseEndMs;

    /** Local time at which the last start order was sent. */
    long lastStartSentAtMs;

    /** Time at which the lease was found expired while tasks were on the runner, 0 where it is not. */
    long lapsedAtMs;

    /** Sequence number of the last renewal sent before the lease was found expired. */
    long renewalBeforeLapse;

    /** Local time at which leases granted by former leaders are guaranteed to have expired. */
    long inheritedLeaseExpiryAtMs;

    /** The same where a former leader has named the runner, which may hold a longer lease than leaders grant. */
    Optional<Long> namedLeaseExpiryAtMs = Optional.empty();

    boolean renewalInFlight;
    /** Number of the latest renewal; the numbers rise over all runners of the leader. */
    long renewalSequence;

    /** Time at which it was sent. */
    long renewalSentAtMs;

    /** The address to which it was sent. */
    String renewalAddress = "";

    /** Sequence number of the latest renewal whose report was applied; of an older one only the ended runs count. */
    long lastReportSequence;

    /** Reading of the runner's clock in that report. */
    long lastReportClockMs;

    long nextRenewalAtMs;
    long lastAnswerAtMs;
    int unansweredRenewals;
    long lastSeenEnd;
    long lastDurableEnd;
    long lastAcknowledgedEnd;

    int failures;
    String lastFailedJob = "";
    long quarantineEndMs;
    /** The task placed last on a runner on probation, by which it is probed; null where there is none. */
    TaskState probeTask;

    long backOffEndMs;

    RunnerState(String id, long incarnationStartMs) {
        this.id = Objects.requireNonNull(id, "id is null");
        this.incarnationStartMs = incarnationStartMs;
    }

    void add(TaskState task) {
        if (tasks.put(task.name, task) != null) {
            return;
        }
        count(task, 1);
    }

    void remove(TaskState task) {
        if (tasks.remove(task.name) == null) {
            return;
        }
        count(task, -1);
    }

    /** Invalidates the cached headroom after a change of tasks or measurements. */
    void headroomChanged() {
        headroom = null;
    }

    private void count(TaskState task, int sign) {
        headroomChanged();
        Resources need = task.step.spec.reservedResources();
        reservedResources = sign > 0 ? reservedResources.plus(need) : reservedResources.minus(need);
        if (task.step.spec.hasTrait(Trait.RESTART_ALWAYS)) {
            longRunningResources = sign > 0 ? longRunningResources.plus(need) : longRunningResources.minus(need);
        }
        if (task.step.spec.hasTrait(Trait.FILLS)) {
            long millicores = sign * task.step.spec.need().processorsMillicores();
            bestEffortMillicores += millicores;
        }
        if (task.isLatencyCritical()) {
            latencyCriticalImages.merge(task.image(), sign, Integer::sum);
            latencyCriticalImages.values().removeIf(count -> count <= 0);
            latencyCriticalMillicores += sign * need.processorsMillicores();
        }
    }

    /** Returns whether a start order may have been sent for one of the tasks. */
    boolean hasOrderedTasks() {
        for (TaskState task : tasks.values()) {
            if (task.phase != TaskState.Phase.PLACED) {
                return true;
            }
        }
        return false;
    }

    /** Returns the latest incarnation of which a report or the list has told. */
    long knownIncarnationStartMs() {
        return Math.max(
                incarnationStartMs, entry.map(RunnerEntry::incarnationStartMs).orElse(incarnationStartMs));
    }

    int latencyCriticalImageCount() {
        return latencyCriticalImages.size();
    }

    Resources capacity() {
        return entry.map(RunnerEntry::capacity).orElse(Resources.NONE);
    }

    /** Returns the processors that are not reserved, 0 where the capacity is unknown. */
    long freeMillicores() {
        return entry.isEmpty()
                ? 0
                : entry.get().capacity().processorsMillicores() - reservedResources.processorsMillicores();
    }

    boolean draining() {
        return entry.map(RunnerEntry::draining).orElse(false);
    }

    boolean isIn(String zone) {
        return entry.map(found -> found.zone().equals(zone)).orElse(false);
    }

    Optional<RunnerAddress> address() {
        return entry.map(found -> new RunnerAddress(id, found.address()));
    }

    /**
     * Returns whether the list entry is that of the incarnation that has reported. What the entry of one incarnation
     * says, such as the labels and the capacity, is no fact about another one.
     */
    boolean entryIsCurrent() {
        return entry.isPresent() && entry.get().incarnationStartMs() == incarnationStartMs;
    }

    /** Returns whether the list should be read early, since the entry of an incarnation that has reported is missing. */
    boolean awaitsEntry(long nowMs) {
        return listed && fenceConfirmed && !entryIsCurrent() && nowMs - incarnationKnownAtMs < EARLY_LIST_READ_MS;
    }

    /** Returns whether the runner has accepted this leader and answered its last renewal. */
    boolean isResponsive() {
        return fenceConfirmed && clock.isPresent() && unansweredRenewals == 0;
    }

    boolean accepts(long nowMs) {
        return obstacle(nowMs).isEmpty();
    }

    /** Returns why the runner takes no tasks at all, empty where it takes some. */
    Optional<PlacementObstacle> obstacle(long nowMs) {
        if (!listed) {
            return PlacementObstacle.NOT_LISTED.found();
        }
        if (draining()) {
            return PlacementObstacle.DRAINING.found();
        }
        if (zoneEvacuated) {
            return PlacementObstacle.ZONE_EVACUATED.found();
        }
        if (nowMs < usableFromMs) {
            return PlacementObstacle.ZONE_RETURNING.found();
        }
        if (!fenceConfirmed || unansweredRenewals != 0) {
            return PlacementObstacle.UNRESPONSIVE.found();
        }
        if (!entryIsCurrent()) {
            return PlacementObstacle.ENTRY_OUTDATED.found();
        }
        if (mustEndUnassignedRuns()) {
            return PlacementObstacle.UNASSIGNED_RUNS.found();
        }
        if (nowMs < quarantineEndMs) {
            return PlacementObstacle.QUARANTINED.found();
        }
        return nowMs < backOffEndMs ? PlacementObstacle.BACKED_OFF.found() : Optional.empty();
    }

    /**
     * Returns whether nothing may start before runs have ended of which no task is known here. What they take of the
     * capacity is unknown: their job may have ended under a former leader.
     */
    boolean mustEndUnassignedRuns() {
        return unassignedRuns > 0 && !guardsCapacity;
    }

    /** Returns whether the runner has failed so often that it gets one task at a time. */
    boolean isOnProbation() {
        return failures >= RunnerHealth.QUARANTINE_FAILURES;
    }

    /** Returns whether the runner is on probation and its probe task may still show whether the runner works. */
    boolean isProbing(long nowMs) {
        return isOnProbation()
                && probeTask != null
                && probeTask.runner == this
                && nowMs - probeTask.startedAtMs < RunnerHealth.PROBE_LIMIT_MS;
    }

    /** Returns the resources of the tasks that are being stopped. */
    Resources stoppingResources() {
        Resources stopping = Resources.NONE;
        for (TaskState task : tasks.values()) {
            if (task.stopping) {
                stopping = stopping.plus(task.step.spec.reservedResources());
            }
        }
        return stopping;
    }

    /** Returns the processors that neither reserved nor best-effort tasks are expected to use. */
    long idleMillicores() {
        return capacity().processorsMillicores()
                - reservedResources.processorsMillicores()
                + (long) (latencyCriticalMillicores * (1 - LATENCY_CRITICAL_UTILIZATION))
                - bestEffortMillicores;
    }

    /** Updates the clock by a reading in an answer; a late answer shows less than an earlier one. */
    void observeClock(long readingMs, long nowMs) {
        RunnerClock observed = RunnerClock.of(readingMs, nowMs);
        if (clock.isEmpty() || clock.get().minReadingMs(nowMs) < readingMs) {
            clock = Optional.of(observed);
        }
    }

    /** Returns the local time from which no ordered run can still be running, unless the lease is renewed. */
    long leaseExpiredAtMs() {
        if (!fenceConfirmed || clock.isEmpty()) {
            return inheritedLeaseExpiryAtMs;
        }
        long expiredAtMs = clock.get().latestPassingMs(leaseEndMs) + DispatchTiming.LEASE_EXPIRY_MARGIN_MS;
        return entryIsOther() ? Math.max(expiredAtMs, otherIncarnationLeaseExpiryAtMs()) : expiredAtMs;
    }

    /** Returns whether the list shows another incarnation than the runner has reported. */
    private boolean entryIsOther() {
        return entry.isPresent() && !entryIsCurrent();
    }

    /**
     * Returns the local time from which a run has ended that the start order sent last has begun in an incarnation that
     * has not reported. The order named a lease on the clock of the former one, so it may be the longest possible.
     */
    private long otherIncarnationLeaseExpiryAtMs() {
        return lastStartSentAtMs
                + RunnerClock.maxLocalDurationMs(DispatchTiming.MAX_LEASE_MS)
                + DispatchTiming.LEASE_EXPIRY_MARGIN_MS;
    }

    /** Records that a lease may be granted; it holds for all runs of the runner. */
    void recordLeaseEnd(long untilMs) {
        leaseEndMs = Math.max(leaseEndMs, untilMs);
        lapsedAtMs = 0;
    }

    /** Asks for a report at once; until it arrives, the runner gets no tasks. */
    void requestReport() {
        unansweredRenewals = Math.max(1, unansweredRenewals);
        nextRenewalAtMs = 0;
    }

    /** Resets the state for a new incarnation; only tasks stay whose start orders it may have accepted. */
    void beginIncarnation(long newIncarnationStartMs) {
        incarnationStartMs = newIncarnationStartMs;
        fenceConfirmed = false;
        clock = Optional.empty();
        leaseEndMs = 0;
        lapsedAtMs = 0;
        unassignedRuns = 0;
        lastSeenEnd = 0;
        lastDurableEnd = 0;
        lastAcknowledgedEnd = 0;
        failures = 0;
        probeTask = null;
        quarantineEndMs = 0;
        backOffEndMs = 0;
        nextRenewalAtMs = 0;
        unansweredRenewals = 0;
    }
}
