package org.pollensill.job;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.pollensill.json.JsonSyntaxException;
import org.pollensill.platform.Row;

/** The rows of the progress of jobs as read at a takeover, joined by job. */
public final class StoredProgress {

    /** Where two rows hold a task, since its row was being divided, the later state counts. */
    private static final Comparator<TaskRecord> BY_PROGRESS = Comparator.comparingInt(TaskRecord::run)
            .thenComparing(TaskRecord::done)
            .thenComparingInt(TaskRecord::failures);

    /** The rows of one job. */
    private static final class JobRows {
        private final List<String> keys = new ArrayList<>();
        private final Set<Integer> furtherRows = new HashSet<>();
        private final Map<TaskName, TaskRecord> tasks = new LinkedHashMap<>();
        private JobStatus status = JobStatus.RUNNING;
        private int readableRows;
    }

    private final Map<String, JobRows> jobs = new HashMap<>();
    private final Set<String> unreadable = new HashSet<>();

    /**
     * Adds a row of the progress table. The job of an unreadable one waits for a leader that can read it: without its
     * progress it could run twice.
     *
     * @param row the row
     * @throws JsonSyntaxException if the row is unreadable
     */
    public void add(Row row) throws JsonSyntaxException {
        String name = row.key().substring(row.key().indexOf('/') + 1);
        String id = ProgressLayout.jobId(name);
        JobRows job = jobs.computeIfAbsent(id, added -> new JobRows());
        job.keys.add(row.key());
        unreadable.add(id);
        int number = ProgressLayout.row(name);
        if (number < 0) {
            throw new JsonSyntaxException("not the name of a row");
        }
        if (number > 0) {
            addTasks(id, job, JobCodec.decodeTasks(row.value()));
            job.furtherRows.add(number);
        } else {
            JobRecord record = JobCodec.decodeRecord(row.value());
            job.status = record.status();
            addTasks(id, job, record.tasks());
        }
        job.readableRows++;
        if (job.readableRows == job.keys.size()) {
            unreadable.remove(id);
        }
    }

    private static void addTasks(String id, JobRows job, List<TaskRecord> tasks) {
        for (TaskRecord task : tasks) {
            job.tasks.merge(
                    new TaskName(id, task.occurrence(), task.step(), task.index()),
                    task,
                    (first, second) -> BY_PROGRESS.compare(first, second) >= 0 ? first : second);
        }
    }

    /**
     * Removes and returns the progress of a job.
     *
     * @param id the job
     * @return the progress, empty if none is stored
     * @throws JsonSyntaxException if a row of the job cannot be read
     */
    public Optional<JobRecord> take(String id) throws JsonSyntaxException {
        if (unreadable.contains(id)) {
            throw new JsonSyntaxException("progress of the job is unreadable");
        }
        JobRows job = jobs.remove(id);
        if (job == null) {
            return Optional.empty();
        }
        return Optional.of(new JobRecord(job.status, List.copyOf(job.tasks.values()), job.furtherRows));
    }

    /**
     * Removes and returns the keys of the rows whose job was not taken, apart from unreadable ones.
     *
     * @return the keys
     */
    public List<String> takeRemaining() {
        List<String> keys = new ArrayList<>();
        jobs.keySet().removeAll(unreadable);
        jobs.values().forEach(job -> keys.addAll(job.keys));
        jobs.clear();
        return keys;
    }
}
