package org.pollensill.settings;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.pollensill.platform.Commit;
import org.pollensill.platform.CommitOutcome;
import org.pollensill.platform.Condition;
import org.pollensill.platform.ObjectStore;
import org.pollensill.platform.Prefix;
import org.pollensill.platform.Row;
import org.pollensill.platform.TableService;
import org.pollensill.platform.Write;

/** Access to the rows and objects in which the settings are stored. */
public final class SettingsStore {

    /** Row with the newest revision; every commit is conditional on its version. */
    public static final String HEAD_KEY = "settings/head";

    /** Row that refers to the newest snapshot in the object store. */
    public static final String SNAPSHOT_KEY = "settings/snapshot";

    /** Key prefix of the rows with one delta each. */
    public static final String DELTA_KEY_PREFIX = "settings/delta/";

    /** Revisions between snapshots, so that a starting process reads few deltas. */
    public static final int SNAPSHOT_INTERVAL_REVISIONS = 256;

    /** Deltas retained in the store for the history and rollbacks; about an hour at 90,000 changes per day. */
    static final int RETAINED_REVISIONS = 4_096;

    private static final int READ_LIMIT_DELTAS = 512;

    private final TableService tables;
    private final ObjectStore objects;

    /**
     * Creates access to the settings in the store.
     *
     * @param tables the table service
     * @param objects the object store
     */
    public SettingsStore(TableService tables, ObjectStore objects) {
        this.tables = Objects.requireNonNull(tables, "tables is null");
        this.objects = Objects.requireNonNull(objects, "objects is null");
    }

    /**
     * Result of one read.
     *
     * @param headVersion version of the head row, 0 if there is none
     * @param update the snapshot and deltas that the reader lacks
     * @param snapshotRevision revision of the newest snapshot, 0 if there is none
     * @param snapshotVersion version of the row that refers to the snapshot
     */
    public record ReadResult(long headVersion, SettingsUpdate update, long snapshotRevision, long snapshotVersion) {

        /**
         * Creates a result.
         *
         * @throws NullPointerException if {@code update} is null
         */
        public ReadResult {
            Objects.requireNonNull(update, "update is null");
        }
    }

    /**
     * Reads the changes after a revision.
     *
     * @param afterRevision the reader's revision, {@link SettingsUpdate#UNKNOWN} for everything
     * @return the result
     */
    public CompletableFuture<ReadResult> read(long afterRevision) {
        long after = Math.max(afterRevision, 0);
        return tables.read(
                        List.of(HEAD_KEY, SNAPSHOT_KEY),
                        List.of(new Prefix(DELTA_KEY_PREFIX, key(after), READ_LIMIT_DELTAS)))
                .thenCompose(rows -> {
                    Rows parsed = new Rows(rows);
                    boolean hasGap = parsed.headRevision > after
                            && (parsed.deltas.isEmpty() || parsed.deltas.get(0).revision() != after + 1);
                    boolean farBehind = parsed.snapshotRevision - after > READ_LIMIT_DELTAS;
                    if ((hasGap || farBehind) && parsed.snapshotRevision > after) {
                        return snapshot(parsed);
                    }
                    return CompletableFuture.completedFuture(parsed.reading(Optional.empty(), parsed.deltas));
                });
    }

    private CompletableFuture<ReadResult> snapshot(Rows parsed) {
        return objects.get(objectName(parsed.snapshotRevision)).thenCompose(content -> {
            if (content.isEmpty()) {
                // A newer snapshot has replaced it since the row was read; the next read finds the newer one.
                return CompletableFuture.completedFuture(parsed.reading(Optional.empty(), parsed.deltas));
            }
            SettingsSnapshot snapshot =
                    parse(() -> SettingsSnapshot.parse(new String(content.get(), StandardCharsets.UTF_8)));
            List<SettingsDelta> laterDeltas = parsed.deltas.stream()
                    .filter(delta -> delta.revision() > snapshot.revision())
                    .toList();
            return CompletableFuture.completedFuture(parsed.reading(Optional.of(snapshot), laterDeltas));
        });
    }

    /**
     * Reads deltas, for conflict checks and the history.
     *
     * @param afterRevision the revision before the first one
     * @param limit max number of deltas
     * @return the retained deltas in order of revision
     */
    public CompletableFuture<List<SettingsDelta>> deltas(long afterRevision, int limit) {
        return tables.read(List.of(), List.of(new Prefix(DELTA_KEY_PREFIX, key(Math.max(afterRevision, 0)), limit)))
                .thenApply(rows -> new Rows(rows).deltas);
    }

    /** Writes deltas and the head, conditional on the version of the head. */
    CompletableFuture<CommitOutcome> commit(String commitId, long headVersion, List<SettingsDelta> deltas) {
        SettingsDelta last = deltas.get(deltas.size() - 1);
        ObjectNode head = SettingsJson.MAPPER.createObjectNode();
        head.put("revision", last.revision());
        head.put("changeId", last.change().changeId());
        List<Write> writes = new ArrayList<>();
        writes.add(Write.put(HEAD_KEY, head.toString()));
        for (SettingsDelta delta : deltas) {
            writes.add(Write.put(key(delta.revision()), delta.toJson()));
        }
        return tables.commit(new Commit(commitId, List.of(new Condition(HEAD_KEY, headVersion)), writes));
    }

    /**
     * Writes a snapshot, and deletes deltas and snapshots that are no longer needed. Changes no row and deletes nothing
     * if another process has written a snapshot since {@code last} was read.
     *
     * @param snapshot the snapshot
     * @param last the read on which the decision to write was based
     * @return whether the row now refers to this snapshot
     */
    public CompletableFuture<Boolean> writeSnapshot(SettingsSnapshot snapshot, ReadResult last) {
        Objects.requireNonNull(snapshot, "snapshot is null");
        Objects.requireNonNull(last, "last is null");
        ObjectNode row = SettingsJson.MAPPER.createObjectNode();
        row.put("revision", snapshot.revision());
        row.put("object", objectName(snapshot.revision()));
        List<Write> writes = new ArrayList<>();
        writes.add(Write.put(SNAPSHOT_KEY, row.toString()));
        long from = Math.max(1, last.snapshotRevision() - RETAINED_REVISIONS + 1);
        for (long revision = from; revision <= snapshot.revision() - RETAINED_REVISIONS; revision++) {
            writes.add(Write.delete(key(revision)));
        }
        Commit commit = new Commit(
                "settings-snapshot-" + snapshot.revision() + "-" + last.snapshotVersion(),
                List.of(new Condition(SNAPSHOT_KEY, last.snapshotVersion())),
                writes);
        return objects.put(objectName(snapshot.revision()), snapshot.toJson().getBytes(StandardCharsets.UTF_8))
                .thenCompose(written -> tables.commit(commit))
                .thenCompose(outcome -> {
                    boolean committed = outcome instanceof CommitOutcome.Committed;
                    if (!committed || last.snapshotRevision() == 0) {
                        return CompletableFuture.completedFuture(committed);
                    }
                    return objects.delete(objectName(last.snapshotRevision())).thenApply(deleted -> true);
                });
    }

    private static String key(long revision) {
        return DELTA_KEY_PREFIX + String.format("%012d", revision);
    }

    private static String objectName(long revision) {
        return "settings-snapshot-" + revision;
    }

    private interface Parser<T> {

        T parse() throws InvalidSettingsException;
    }

    private static <T> T parse(Parser<T> parser) {
        try {
            return parser.parse();
        } catch (InvalidSettingsException e) {
            throw new CompletionException(e);
        }
    }

    /** Parsed rows of one read. */
    private static final class Rows {

        private long headVersion;
        private long headRevision;
        private long snapshotVersion;
        private long snapshotRevision;
        private final List<SettingsDelta> deltas = new ArrayList<>();

        Rows(List<Row> rows) {
            for (Row row : rows) {
                if (row.key().equals(HEAD_KEY)) {
                    headVersion = row.version();
                    headRevision = revision(row);
                } else if (row.key().equals(SNAPSHOT_KEY)) {
                    snapshotVersion = row.version();
                    snapshotRevision = revision(row);
                } else {
                    deltas.add(parse(() -> SettingsDelta.parse(row.value())));
                }
            }
        }

        private static long revision(Row row) {
            JsonNode json = parse(() -> SettingsJson.parse(row.key(), row.value()));
            return json.path("revision").asLong();
        }

        ReadResult reading(Optional<SettingsSnapshot> snapshot, List<SettingsDelta> laterDeltas) {
            return new ReadResult(
                    headVersion,
                    new SettingsUpdate(headRevision, snapshot, laterDeltas),
                    snapshotRevision,
                    snapshotVersion);
        }
    }
}
