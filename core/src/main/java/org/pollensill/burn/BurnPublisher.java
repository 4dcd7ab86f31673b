package org.pollensill.burn;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;

import org.pollensill.platform.Commit;
import org.pollensill.platform.CommitOutcome;
import org.pollensill.platform.Condition;
import org.pollensill.platform.Row;
import org.pollensill.platform.TableService;
import org.pollensill.platform.Write;

/**
 * Writes the counters of a process to its row. Writes are idempotent: each one replaces the previous value, so a lost or
 * repeated write does not change any sum. If the row was archived while the process did not write, it is not written
 * again; the process continues under a new row key with the counts since the archived write.
 */
public final class BurnPublisher {

    /** Snapshots kept while answers are lost: any of these writes may be the last one that took effect. */
    private static final int MAX_SENT_SNAPSHOTS = 8;

    /** Max retries after conflicts in one write. Further conflicts come from stale reads; the next write retries. */
    private static final int MAX_CONFLICT_RETRIES = 3;

    private final TableService tables;
    private final BurnCounters counters;
    private final String zone;
    private final String processId;
    private final AtomicBoolean writeInFlight = new AtomicBoolean();
    private final TreeMap<Long, Map<BurnKey, BurnSeries>> sentSnapshots = new TreeMap<>();
    private volatile int generation;
    private volatile long sequence;
    private long version = Condition.ABSENT;
    private boolean lastOutcomeUnknown;

    /**
     * Creates a publisher.
     *
     * @param tables the table service
     * @param counters the process's counters
     * @param zone the process's zone
     * @param host the process's host
     * @param incarnation the process's incarnation
     */
    public BurnPublisher(TableService tables, BurnCounters counters, String zone, String host, String incarnation) {
        this.tables = Objects.requireNonNull(tables, "tables is null");
        this.counters = Objects.requireNonNull(counters, "counters is null");
        this.zone = Objects.requireNonNull(zone, "zone is null");
        Objects.requireNonNull(host, "host is null");
        Objects.requireNonNull(incarnation, "incarnation is null");
        this.processId = host + "/" + incarnation;
    }

    private String key() {
        return BurnRow.ROW_PREFIX + zone + "/" + processId + (generation == 0 ? "" : "+" + generation);
    }

    /**
     * Writes the counters. Does nothing while the previous write is in flight.
     *
     * @param nowMs wall-clock time
     * @return whether the row now holds the counters
     */
    public CompletableFuture<Boolean> write(long nowMs) {
        if (!writeInFlight.compareAndSet(false, true)) {
            return CompletableFuture.completedFuture(false);
        }
        CompletableFuture<Boolean> committed = lastOutcomeUnknown || version == Condition.ABSENT
                ? resolveAndCommit(nowMs, MAX_CONFLICT_RETRIES)
                : commit(nowMs, MAX_CONFLICT_RETRIES, Optional.empty());
        return committed.handle((succeeded, failure) -> {
            lastOutcomeUnknown |= failure != null;
            writeInFlight.set(false);
            return failure == null && succeeded;
        });
    }

    /**
     * Returns the row as it would be written now, for reports.
     *
     * @param nowMs wall-clock time
     * @return the row
     */
    public Row row(long nowMs) {
        return new Row(key(), 1, new BurnRow(zone, sequence, nowMs, counters.copy(nowMs), Map.of()).toJson());
    }

    private CompletableFuture<Boolean> commit(long nowMs, int retriesLeft, Optional<Condition> archiveCondition) {
        Map<BurnKey, BurnSeries> snapshot = counters.copy(nowMs);
        if (snapshot.isEmpty() && version == Condition.ABSENT) {
            return CompletableFuture.completedFuture(true);
        }
        long writeSequence = ++sequence;
        sentSnapshots.put(writeSequence, snapshot);
        while (sentSnapshots.size() > MAX_SENT_SNAPSHOTS) {
            sentSnapshots.pollFirstEntry();
        }
        BurnRow row = new BurnRow(zone, writeSequence, nowMs, snapshot, Map.of());
        List<Condition> conditions = new ArrayList<>(List.of(new Condition(key(), version)));
        archiveCondition.ifPresent(conditions::add);
        Commit commit = new Commit(key() + "#" + writeSequence, conditions, List.of(Write.put(key(), row.toJson())));
        return tables.commit(commit).thenCompose(outcome -> {
            if (outcome instanceof CommitOutcome.Committed) {
                Optional<Long> newVersion = Optional.ofNullable(
                        ((CommitOutcome.Committed) outcome).versions().get(key()));
                newVersion.ifPresent(committed -> version = committed);
                lastOutcomeUnknown = newVersion.isEmpty();
                sentSnapshots.headMap(writeSequence).clear();
                return CompletableFuture.completedFuture(true);
            }
            lastOutcomeUnknown = true;
            return retriesLeft > 0
                    ? resolveAndCommit(nowMs, retriesLeft - 1)
                    : CompletableFuture.completedFuture(false);
        });
    }

    /** Reads which write took effect last, and commits on top of its version. */
    private CompletableFuture<Boolean> resolveAndCommit(long nowMs, int retriesLeft) {
        String archiveKey = BurnRow.ARCHIVE_PREFIX + zone;
        return tables.read(List.of(key(), archiveKey), List.of()).thenCompose(rows -> {
            Optional<Row> ownRow =
                    rows.stream().filter(row -> row.key().equals(key())).findFirst();
            Optional<Row> archiveRow =
                    rows.stream().filter(row -> row.key().equals(archiveKey)).findFirst();
            Map<String, Long> archivedSequences = archiveRow
                    .flatMap(row -> BurnRow.parse(row.value()))
                    .map(BurnRow::archivedSequences)
                    .orElse(Map.of());
            Optional<Long> archivedSequence = Optional.ofNullable(archivedSequences.get(key()));
            boolean missing = ownRow.isEmpty() && archivedSequence.isEmpty() && version != Condition.ABSENT;
            if (missing && archivedSequences.size() < BurnRow.MAX_ARCHIVED_INCARNATIONS) {
                // A committed row is either still stored or in the archive, so this read is stale.
                lastOutcomeUnknown = true;
                return CompletableFuture.completedFuture(false);
            }
            lastOutcomeUnknown = false;
            if (ownRow.isPresent()) {
                version = ownRow.get().version();
            } else if (archivedSequence.isPresent() || missing) {
                startNewGeneration(archivedSequence, nowMs);
            }
            // The first write of a row is conditional on the version of the archive. A stale read could hide that the
            // write took effect and was archived, and a duplicate in flight could take effect after the archiving.
            long archiveVersion = archiveRow.map(Row::version).orElse(Condition.ABSENT);
            return commit(
                    nowMs,
                    retriesLeft,
                    version == Condition.ABSENT
                            ? Optional.of(new Condition(archiveKey, archiveVersion))
                            : Optional.empty());
        });
    }

    private void startNewGeneration(Optional<Long> archivedSequence, long nowMs) {
        Optional<Map<BurnKey, BurnSeries>> archivedCounts = archivedSequence.map(sentSnapshots::get);
        // If it is unknown which counts the archive contains, they are dropped rather than counted twice.
        archivedCounts.ifPresentOrElse(snapshot -> counters.subtract(snapshot, nowMs), counters::clear);
        generation++;
        sequence = 0;
        version = Condition.ABSENT;
        sentSnapshots.clear();
    }
}
