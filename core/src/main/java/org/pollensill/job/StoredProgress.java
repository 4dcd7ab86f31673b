package org.pollensill.job;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.NoSuchElementException;
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
        private final DoneTasks done = new DoneTasks();
        private JobStatus status = JobStatus.RUNNING;
        private int readableRows;
    }

    private final Map<String, JobRows> jobs = new HashMap<>();
    /** The jobs that have ended and of which one row is stored. */
    private final EndedJobs ended = new EndedJobs();

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
        if (isEndedAlone(id, name, row)) {
            return;
        }
        JobRows job = jobs.computeIfAbsent(id, added -> new JobRows());
        job.keys.add(row.key());
        Optional<JobStatus> endedStatus = ended.status(id);
        if (endedStatus.isPresent()) {
            // A further row that a leader had no time to delete; the first row came before it.
            ended.remove(id);
            job.keys.add(row.key().substring(0, row.key().length() - name.length()) + id);
            job.status = endedStatus.get();
            job.readableRows++;
        }
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

    /** Keeps only the state of a job that has ended, unless further rows of it came before. */
    private boolean isEndedAlone(String id, String name, Row row) {
        if (ProgressLayout.row(name) != 0 || jobs.containsKey(id) || !EndedJobs.isJobId(id)) {
            return false;
        }
        Optional<JobStatus> status = JobCodec.decodeEndedRecord(row.value());
        status.ifPresent(found -> ended.add(id, found, 0));
        return status.isPresent();
    }

    private static void addTasks(String id, JobRows job, List<TaskRecord> tasks) {
        for (TaskRecord task : tasks) {
            if (!job.done.add(task)) {
                merge(id, job.tasks, task);
            }
        }
    }

    private static void merge(String id, Map<TaskName, TaskRecord> tasks, TaskRecord task) {
        tasks.merge(
                new TaskName(id, task.occurrence(), task.step(), task.index()),
                task,
                (first, second) -> BY_PROGRESS.compare(first, second) >= 0 ? first : second);
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
            Optional<JobStatus> endedStatus = ended.status(id);
            ended.remove(id);
            return endedStatus.map(status -> new JobRecord(status, List.of()));
        }
        job.done.forEach(task -> merge(id, job.tasks, task));
        return Optional.of(new JobRecord(job.status, List.copyOf(job.tasks.values()), job.furtherRows));
    }

    /**
     * Removes and returns the keys of the rows whose job was not taken, apart from unreadable ones. Those of ended jobs
     * are made as they are returned, since there may be far more than a heap takes.
     *
     * @param table the table of the rows
     * @return the keys
     */
    public Iterator<String> takeRemaining(String table) {
        List<String> keys = new ArrayList<>();
        jobs.keySet().removeAll(unreadable);
        jobs.values().forEach(job -> keys.addAll(job.keys));
        jobs.clear();
        Iterator<String> first = keys.iterator();
        EndedJobs.Cursor cursor = new EndedJobs.Cursor();
        return new Iterator<>() {
            @Override
            public boolean hasNext() {
                return first.hasNext() || ended.size() > 0;
            }

            @Override
            public String next() {
                if (first.hasNext()) {
                    return first.next();
                }
                List<String> id = ended.takeEndedBefore(cursor, Long.MAX_VALUE, 1);
                if (id.isEmpty()) {
                    throw new NoSuchElementException("no further row without a job");
                }
                ended.remove(id.get(0));
                return table + "/" + id.get(0);
            }
        };
    }
}
