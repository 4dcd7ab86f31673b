package org.pollensill.dispatch;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.pollensill.job.ProgressLayout;
import org.pollensill.platform.Write;

/**
 * Collects pending changes until the next commit takes them. A commit that the store rejects for its content is split
 * until the job that causes the rejection is alone; that job is set aside, and the others go on.
 */
final class PendingChanges {

    /** Maximum number of rows in one commit; a transaction holds at most 100 entries. */
    static final int MAX_ROWS_PER_COMMIT = 80;

    /** Maximum size of the values in one commit; the store's limit is 1 MB, and its encoding adds a third. */
    static final int MAX_BYTES_PER_COMMIT = 500_000;

    /** Interval between two attempts to record the progress of a job that was set aside. */
    static final long SET_ASIDE_RETRY_MS = 10_000;

    /** An encoded row of a job. */
    private record EncodedRow(int row, Write write, int bytes) {}

    private final String keyPrefix;
    private final DispatchListener listener;
    private final Map<JobState, BitSet> changed = new LinkedHashMap<>();
    private final Map<JobState, BitSet> setAside = new LinkedHashMap<>();
    private final List<Batch.Placement> placements = new ArrayList<>();
    private final Map<RunnerState, EndNumber> ends = new LinkedHashMap<>();
    /** The jobs whose ended runs are not acknowledged yet, by runner. */
    private final Map<RunnerState, Set<JobState>> endedJobs = new HashMap<>();

    private boolean rangesAllowed = true;
    private int maxRows = MAX_ROWS_PER_COMMIT;
    private long nextRetryAtMs;

    PendingChanges(String keyPrefix, DispatchListener listener) {
        this.keyPrefix = keyPrefix;
        this.listener = listener;
    }

    /** Sets whether the progress of large jobs is stored in rows by range of tasks; former versions read one row only. */
    void allowRanges(boolean allowed) {
        rangesAllowed = allowed;
    }

    /** Returns whether changes of a job are not committed yet. */
    boolean contains(JobState job) {
        return changed.containsKey(job) || setAside.containsKey(job);
    }

    /** Records a change of a job's state. */
    void changed(JobState job) {
        changedRows(job).set(0);
    }

    /** Records a change of a task. */
    void changed(TaskState task) {
        changedRows(task.step.job).set(task.progressRow());
    }

    private BitSet changedRows(JobState job) {
        return (job.setAside ? setAside : changed).computeIfAbsent(job, added -> new BitSet());
    }

    void placed(TaskState task) {
        placements.add(new Batch.Placement(task, task.run));
        changed(task);
    }

    /** Records that a runner has listed the end of a run of a job. */
    void endedRun(RunnerState runner, JobState job) {
        endedJobs.computeIfAbsent(runner, added -> new HashSet<>()).add(job);
    }

    /** Records up to which number the ends that a runner lists are applied. */
    void ended(RunnerState runner) {
        ended(runner, new EndNumber(runner.incarnationStartMs, runner.lastSeenEnd));
    }

    private void ended(RunnerState runner, EndNumber number) {
        ends.merge(runner, number, EndNumber::latest);
    }

    /** Forgets the ended runs of the former incarnation of a runner. */
    void forgetEnds(RunnerState runner) {
        ends.remove(runner);
        endedJobs.remove(runner);
    }

    /** Takes the next batch; ended runs stay pending until all the changes that they caused fit into it. */
    Optional<Batch> take(long nowMs) {
        if (!setAside.isEmpty() && nowMs >= nextRetryAtMs) {
            nextRetryAtMs = nowMs + SET_ASIDE_RETRY_MS;
            return Optional.of(takeSetAside());
        }
        if (changed.isEmpty()) {
            return Optional.empty();
        }
        Batch batch = new Batch();
        int bytes = 0;
        Iterator<Map.Entry<JobState, BitSet>> jobs = changed.entrySet().iterator();
        while (jobs.hasNext()) {
            Map.Entry<JobState, BitSet> next = jobs.next();
            List<EncodedRow> rows = encode(next.getKey(), next.getValue());
            int added = 0;
            for (EncodedRow row : rows) {
                added += row.bytes();
            }
            boolean fits = batch.size() + rows.size() <= maxRows && bytes + added <= MAX_BYTES_PER_COMMIT;
            // The rows of a job stay together unless they do not fit into any batch.
            if (!fits && !batch.rows().isEmpty()) {
                break;
            }
            bytes += added;
            if (addRows(batch, next.getKey(), rows)) {
                jobs.remove();
            } else {
                batch.rows().get(next.getKey()).stream().forEach(next.getValue()::clear);
                break;
            }
        }
        addPlacements(batch);
        if (changed.isEmpty()) {
            batch.ends().putAll(takeAcknowledgeableEnds());
        }
        return Optional.of(batch);
    }

    private List<EncodedRow> encode(JobState job, BitSet changedRows) {
        BitSet rows = (BitSet) changedRows.clone();
        boolean ended = job.status.isFinal();
        if (!job.storedInRanges && !ended && rangesAllowed && job.rowCount() > 1) {
            job.storedInRanges = true;
            rows.or(job.rowsWithRecords());
            rows.set(0);
        }
        if (!job.storedInRanges) {
            rows.clear();
            rows.set(0);
        }
        if (job.status != job.recordedStatus) {
            rows.set(0);
        }
        if (ended) {
            rows.or(job.furtherRows);
        }
        changedRows.or(rows);
        List<EncodedRow> encoded = new ArrayList<>();
        // A final state counts whatever the other rows hold. Before that, row 0 may still hold the tasks of them all.
        if (rows.get(0) && ended) {
            encoded.add(encodeRow(job, 0));
        }
        for (int row = rows.nextSetBit(1); row >= 0; row = rows.nextSetBit(row + 1)) {
            encoded.add(encodeRow(job, row));
        }
        if (rows.get(0) && !ended) {
            encoded.add(encodeRow(job, 0));
        }
        return encoded;
    }

    private EncodedRow encodeRow(JobState job, int row) {
        String key = keyPrefix + ProgressLayout.rowName(job.request.id(), row);
        if (row > 0 && job.status.isFinal()) {
            return new EncodedRow(row, Write.delete(key), 0);
        }
        String value = job.encodeRow(row);
        return new EncodedRow(row, Write.put(key, value), value.getBytes(StandardCharsets.UTF_8).length);
    }

    /** Adds rows to an empty batch as far as they fit, or all of them to another one; returns whether all were added. */
    private boolean addRows(Batch batch, JobState job, List<EncodedRow> rows) {
        int bytes = 0;
        for (EncodedRow row : rows) {
            bytes += row.bytes();
            boolean first = batch.rows().isEmpty();
            boolean alone = first || batch.rows().size() == 1 && batch.rows().containsKey(job);
            if (alone && !first && (batch.size() >= maxRows || bytes > MAX_BYTES_PER_COMMIT)) {
                return false;
            }
            batch.add(job, row.row(), row.write());
            if (row.row() > 0) {
                job.furtherRows.set(row.row(), row.write().value().isPresent());
            }
        }
        return true;
    }

    private void addPlacements(Batch batch) {
        Iterator<Batch.Placement> placed = placements.iterator();
        while (placed.hasNext()) {
            Batch.Placement placement = placed.next();
            JobState job = placement.task().step.job;
            if (batch.contains(job, job.storedInRanges ? placement.task().progressRow() : 0)) {
                batch.placements().add(placement);
                placed.remove();
            }
        }
    }

    /** Takes the ended runs that caused no changes, so that they can be acknowledged without a commit. */
    Map<RunnerState, EndNumber> takeEndsWithoutChanges() {
        if (!changed.isEmpty()) {
            return Map.of();
        }
        Map<RunnerState, EndNumber> taken = takeAcknowledgeableEnds();
        endedJobs.keySet().removeAll(taken.keySet());
        return taken;
    }

    /** Takes the ended runs of the runners on which none belongs to a job that was set aside. */
    private Map<RunnerState, EndNumber> takeAcknowledgeableEnds() {
        if (ends.isEmpty()) {
            return Map.of();
        }
        Map<RunnerState, EndNumber> taken = new LinkedHashMap<>(ends);
        taken.keySet()
                .removeIf(runner ->
                        endedJobs.getOrDefault(runner, Set.of()).stream().anyMatch(job -> job.setAside));
        ends.keySet().removeAll(taken.keySet());
        return taken;
    }

    /** Handles a commit of a batch: larger batches may follow, and the progress of a job that was set aside is recorded. */
    void committed(Batch batch) {
        maxRows = Math.min(MAX_ROWS_PER_COMMIT, 2 * maxRows);
        for (RunnerState runner : batch.ends().keySet()) {
            if (!ends.containsKey(runner)) {
                endedJobs.remove(runner);
            }
        }
        for (JobState job : batch.rows().keySet()) {
            if (job.setAside) {
                job.setAside = false;
                changedRows(job).or(setAside.remove(job));
                listener.jobResumed(job.request.id());
            }
        }
    }

    /** Restores the changes of a batch that was certainly not written. */
    void restore(Batch batch) {
        batch.rows().forEach((job, rows) -> changedRows(job).or(rows));
        placements.addAll(0, batch.placements());
        for (Map.Entry<RunnerState, EndNumber> end : batch.ends().entrySet()) {
            if (end.getValue().incarnationStartMs() == end.getKey().incarnationStartMs) {
                ended(end.getKey(), end.getValue());
            }
        }
    }

    /** Restores the changes of a batch that the store rejects for its content, and splits it or sets its job aside. */
    void rejected(Batch batch, long nowMs) {
        restore(batch);
        if (batch.rows().size() > 1) {
            maxRows = Math.max(1, batch.size() / 2);
            return;
        }
        JobState job = batch.rows().keySet().iterator().next();
        if (job.setAside) {
            return;
        }
        BitSet rows = changed.remove(job);
        job.setAside = true;
        setAside.put(job, rows);
        nextRetryAtMs = nowMs + SET_ASIDE_RETRY_MS;
        maxRows = MAX_ROWS_PER_COMMIT;
        Iterator<Batch.Placement> placed = placements.iterator();
        while (placed.hasNext()) {
            TaskState task = placed.next().task();
            if (task.step.job == job) {
                task.release();
                placed.remove();
            }
        }
        listener.jobSetAside(job.request.id(), rows.cardinality());
    }

    private Batch takeSetAside() {
        Batch batch = new Batch();
        JobState job = setAside.keySet().iterator().next();
        BitSet rows = setAside.remove(job);
        setAside.put(job, rows);
        addRows(batch, job, encode(job, rows));
        return batch;
    }
}
