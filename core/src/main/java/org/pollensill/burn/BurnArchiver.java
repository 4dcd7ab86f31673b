package org.pollensill.burn;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.pollensill.platform.Commit;
import org.pollensill.platform.CommitOutcome;
import org.pollensill.platform.Condition;
import org.pollensill.platform.Prefix;
import org.pollensill.platform.Row;
import org.pollensill.platform.TableService;
import org.pollensill.platform.Write;

/**
 * Moves the counts of ended processes into the archive of their zone, in the same commit that deletes their rows. Thus
 * thousands of restarts a day leave only one row per zone.
 */
public final class BurnArchiver {

    /** A process is treated as ended when twenty of its periodic writes are missing. */
    static final long STALE_AFTER_MS = 600_000;

    private static final int ROWS_PER_COMMIT = 32;
    private static final int ROWS_PER_READ = 256;

    private final TableService tables;

    /**
     * Creates an archiver.
     *
     * @param tables the table service
     */
    public BurnArchiver(TableService tables) {
        this.tables = Objects.requireNonNull(tables, "tables is null");
    }

    /**
     * Reads the rows of one zone or of all zones, with the archives.
     *
     * @param zone the zone, empty for all
     * @return the rows of processes and archives
     */
    public CompletableFuture<List<Row>> read(String zone) {
        Objects.requireNonNull(zone, "zone is null");
        String prefix = zone.isEmpty() ? BurnRow.ROW_PREFIX : BurnRow.ROW_PREFIX + zone + "/";
        return readPages(prefix, "", new ArrayList<>()).thenCompose(collected -> {
            if (zone.isEmpty()) {
                return readPages(BurnRow.ARCHIVE_PREFIX, "", collected);
            }
            return tables.read(List.of(BurnRow.ARCHIVE_PREFIX + zone), List.of())
                    .thenApply(archive -> {
                        collected.addAll(archive);
                        return collected;
                    });
        });
    }

    private CompletableFuture<List<Row>> readPages(String prefix, String after, List<Row> collected) {
        return tables.read(List.of(), List.of(new Prefix(prefix, after, ROWS_PER_READ)))
                .thenCompose(rows -> {
                    collected.addAll(rows);
                    return rows.size() < ROWS_PER_READ
                            ? CompletableFuture.completedFuture(collected)
                            : readPages(prefix, rows.get(rows.size() - 1).key(), collected);
                });
    }

    /**
     * Moves the rows of a zone's ended processes into the archive.
     *
     * @param zone the zone
     * @param rows rows of the zone, as just read
     * @param nowMs wall-clock time
     * @return number of archived rows, 0 if a concurrent commit came first
     */
    public CompletableFuture<Integer> archive(String zone, List<Row> rows, long nowMs) {
        Objects.requireNonNull(zone, "zone is null");
        String archiveKey = BurnRow.ARCHIVE_PREFIX + zone;
        Optional<Row> archiveRow =
                rows.stream().filter(row -> row.key().equals(archiveKey)).findFirst();
        Optional<BurnRow> parsed = archiveRow.flatMap(row -> BurnRow.parse(row.value()));
        if (archiveRow.isPresent() && parsed.isEmpty()) {
            // The archive may have been written by a newer version: leaves it and the zone's rows unchanged.
            return CompletableFuture.completedFuture(0);
        }
        BurnRow archive = parsed.orElse(BurnRow.emptyArchive(zone));
        List<Condition> conditions = new ArrayList<>();
        List<Write> writes = new ArrayList<>();
        for (Row row : rows) {
            Optional<BurnRow> counts = BurnRow.parse(row.value());
            boolean stale = row.key().startsWith(BurnRow.ROW_PREFIX + zone + "/")
                    && counts.isPresent()
                    && nowMs - counts.get().writtenAtMs() > STALE_AFTER_MS;
            if (stale && conditions.size() < ROWS_PER_COMMIT) {
                archive = archive.withArchived(row.key(), counts.get(), nowMs);
                conditions.add(new Condition(row.key(), row.version()));
                writes.add(Write.delete(row.key()));
            }
        }
        int archivedRows = writes.size();
        if (archivedRows == 0) {
            return CompletableFuture.completedFuture(0);
        }
        long version = archiveRow.map(Row::version).orElse(Condition.ABSENT);
        conditions.add(new Condition(archiveKey, version));
        writes.add(Write.put(archiveKey, archive.toJson()));
        return tables.commit(new Commit(archiveKey + "#" + version + "#" + nowMs, conditions, writes))
                .thenApply(outcome -> outcome instanceof CommitOutcome.Committed ? archivedRows : 0);
    }
}
