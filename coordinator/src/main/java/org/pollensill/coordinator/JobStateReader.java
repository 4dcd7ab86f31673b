package org.pollensill.coordinator;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.pollensill.job.JobCodec;
import org.pollensill.job.JobStatus;
import org.pollensill.json.JsonSyntaxException;
import org.pollensill.platform.Prefix;
import org.pollensill.platform.Row;
import org.pollensill.platform.RowStore;
import org.pollensill.runtime.event.EventLog;

/** Reads the state of jobs from the store. */
final class JobStateReader {

    private static final EventLog LOG = EventLog.of(JobStateReader.class);

    private final RowStore store;
    private final StoreHealth health;

    JobStateReader(RowStore store, StoreHealth health) {
        this.store = store;
        this.health = health;
    }

    /**
     * Reads the state of a job.
     *
     * @param id the job id
     * @return the state, empty if no such job is stored; fails if the store does not answer
     */
    CompletableFuture<Optional<JobStatus>> read(String id) {
        // The keys of a job and its cancellation share a prefix, so one range read returns both.
        List<Prefix> intakeRows = List.of(new Prefix(Tables.jobKey(id), "", 2));
        return health.track(store.read(List.of(Tables.progressKey(id)), intakeRows))
                .thenApply(JobStateReader::status);
    }

    private static Optional<JobStatus> status(List<Row> rows) {
        boolean accepted = false;
        boolean cancelled = false;
        Optional<JobStatus> recordedStatus = Optional.empty();
        Optional<JobStatus> ended = Optional.empty();
        for (Row row : rows) {
            if (Tables.isCancel(row.key())) {
                cancelled = true;
            } else if (row.key().startsWith(Tables.INTAKE)) {
                accepted = true;
                ended = endedStatus(row);
            } else {
                recordedStatus = recordedStatus(row);
            }
        }
        if (ended.isPresent()) {
            return ended;
        }
        if (recordedStatus.isPresent() && recordedStatus.get().isFinal()) {
            return recordedStatus;
        }
        if (cancelled && accepted) {
            return Optional.of(JobStatus.CANCELLED);
        }
        return accepted ? Optional.of(recordedStatus.orElse(JobStatus.QUEUED)) : Optional.empty();
    }

    private static Optional<JobStatus> endedStatus(Row row) {
        try {
            return JobCodec.decodeEnded(row.value());
        } catch (JsonSyntaxException e) {
            LOG.log(CoordinatorEvent.ROW_UNREADABLE, "key", row.key(), "problem", e.getMessage());
            return Optional.empty();
        }
    }

    private static Optional<JobStatus> recordedStatus(Row row) {
        try {
            return Optional.of(JobCodec.decodeRecord(row.value()).status());
        } catch (JsonSyntaxException e) {
            LOG.log(CoordinatorEvent.ROW_UNREADABLE, "key", row.key(), "problem", e.getMessage());
            return Optional.empty();
        }
    }
}
