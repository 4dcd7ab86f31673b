package org.pollensill.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.pollensill.evacuation.ZoneEvacuations;
import org.pollensill.runner.RunnerEntry;

/** Registry of the runners, by identity. */
final class Fleet {

    /**
     * Number of reads of the list after which an entry that is still older than the incarnation known of a silent
     * runner is that of a later one, which began after its wall clock had been stepped back.
     */
    private static final int MIN_OLDER_ENTRY_READS = 10;

    private final Map<String, RunnerState> runners = new LinkedHashMap<>();
    private final InheritedLeases inheritedLeases;
    private final ZoneEvacuations evacuations;
    private Set<String> guardedServices = Set.of();
    private long lastRenewal;

    /**
     * Creates an empty fleet of a deployment whose operator empties no zones.
     *
     * @param inheritedLeases the leases that former leaders may have granted
     */
    Fleet(InheritedLeases inheritedLeases) {
        this(inheritedLeases, ZoneEvacuations.unsupported());
    }

    /**
     * Creates an empty fleet.
     *
     * @param inheritedLeases the leases that former leaders may have granted
     * @param evacuations the zones in which nothing starts
     */
    Fleet(InheritedLeases inheritedLeases, ZoneEvacuations evacuations) {
        this.inheritedLeases = inheritedLeases;
        this.evacuations = evacuations;
    }

    Collection<RunnerState> all() {
        return runners.values();
    }

    /** Sets the services whose runners refuse a start that exceeds their capacity. */
    void setGuardedServices(Set<String> services) {
        guardedServices = Set.copyOf(services);
        for (RunnerState runner : runners.values()) {
            runner.entry.ifPresent(entry -> runner.guardsCapacity = guardedServices.contains(entry.service()));
        }
    }

    /** Applies a change of the zones that are being emptied to all runners. */
    void applyEvacuations() {
        for (RunnerState runner : runners.values()) {
            runner.entry.ifPresent(entry -> applyEvacuation(runner, entry));
        }
    }

    private void applyEvacuation(RunnerState runner, RunnerEntry entry) {
        runner.zoneEvacuated = evacuations.evacuated(entry.zone());
        runner.usableFromMs = evacuations.usableFromMs(entry.zone(), runner.id);
    }

    Optional<RunnerState> get(String id) {
        return Optional.ofNullable(runners.get(id));
    }

    /** Returns whether a runner has started anew and its list entry is awaited. */
    boolean awaitsEntry(long nowMs) {
        for (RunnerState runner : runners.values()) {
            if (runner.awaitsEntry(nowMs)) {
                return true;
            }
        }
        return false;
    }

    /** Returns the runner that a stored placement refers to, and creates it if it is not listed yet. */
    RunnerState getOrCreate(String id, long incarnationStartMs) {
        return runners.computeIfAbsent(id, key -> create(key, incarnationStartMs));
    }

    private RunnerState create(String id, long incarnationStartMs) {
        RunnerState runner = new RunnerState(id, incarnationStartMs);
        runner.inheritedLeaseExpiryAtMs = inheritedLeases.expiredAtMs(id);
        runner.namedLeaseExpiryAtMs = inheritedLeases.namedExpiredAtMs(id);
        // Renewals that were sent to this identity before are overtaken by those that follow.
        runner.renewalSequence = lastRenewal;
        runner.lastReportSequence = lastRenewal;
        return runner;
    }

    /**
     * Extends the lease that a runner may hold from former leaders, whose orders may have reached another incarnation
     * than the one that they were meant for.
     *
     * @param incarnationStartMs the latest incarnation that is known
     */
    void extendInheritedLease(RunnerState runner, long incarnationStartMs) {
        runner.inheritedLeaseExpiryAtMs = Math.max(
                runner.inheritedLeaseExpiryAtMs,
                inheritedLeases.expiredInAnyIncarnationAtMs(runner.id, incarnationStartMs));
    }

    /** Numbers the next renewal to a runner. The numbers rise over all runners, so they outlast a runner's state. */
    long nextRenewal(RunnerState runner, long nowMs) {
        runner.renewalSequence = ++lastRenewal;
        runner.renewalSentAtMs = nowMs;
        return lastRenewal;
    }

    /**
     * Updates the list of runners. The tasks of a runner that has restarted stay on it until it reports: its new
     * incarnation knows no fencing token and may have accepted an order of this leader or a former one.
     *
     * @param entries all entries
     */
    void update(List<RunnerEntry> entries) {
        Set<String> listed = new HashSet<>();
        for (RunnerEntry entry : entries) {
            listed.add(entry.id());
            RunnerState runner = runners.computeIfAbsent(entry.id(), id -> create(id, entry.incarnationStartMs()));
            boolean older = entry.incarnationStartMs() < runner.incarnationStartMs;
            runner.olderEntryReads = older ? runner.olderEntryReads + 1 : 0;
            if (older && (runner.isResponsive() || runner.olderEntryReads < MIN_OLDER_ENTRY_READS)) {
                // The list is older than the runner's own report, which showed a later incarnation.
                continue;
            }
            if (entry.incarnationStartMs() != runner.incarnationStartMs) {
                if (runner.tasks.isEmpty()) {
                    runner.beginIncarnation(entry.incarnationStartMs());
                } else {
                    if (!runner.fenceConfirmed) {
                        extendInheritedLease(runner, Math.max(runner.incarnationStartMs, entry.incarnationStartMs()));
                    }
                    runner.requestReport();
                }
            }
            runner.entry = Optional.of(entry);
            runner.listed = true;
            runner.guardsCapacity = guardedServices.contains(entry.service());
            applyEvacuation(runner, entry);
        }
        for (RunnerState runner : new ArrayList<>(runners.values())) {
            if (listed.contains(runner.id)) {
                continue;
            }
            runner.listed = false;
            if (runner.tasks.isEmpty() && !runner.renewalInFlight) {
                runners.remove(runner.id);
            }
        }
    }
}
