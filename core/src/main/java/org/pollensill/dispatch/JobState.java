package org.pollensill.dispatch;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.TreeMap;

import org.pollensill.admission.JobMemory;
import org.pollensill.job.JobCodec;
import org.pollensill.job.JobRecord;
import org.pollensill.job.JobRequest;
import org.pollensill.job.JobStatus;
import org.pollensill.job.JobTerms;
import org.pollensill.job.ProgressLayout;
import org.pollensill.job.TaskRecord;
import org.pollensill.job.Trait;
import org.pollensill.queue.AdviceTiming;

/** In-memory state of a job. */
final class JobState {

    final JobRequest request;

    /** The occurrences that are due and incomplete, by index; the only one of a job without a schedule stays. */
    private final Map<Integer, OccurrenceState> open = new TreeMap<>();

    private final BitSet completeOccurrences = new BitSet(0);

    /** The last runs of the tasks of complete occurrences, empty while there are none. */
    private short[] lastRuns = {};

    /** All occurrences before it are open or complete. */
    private int nextOccurrence;

    /** Number of the first task of each step in its occurrence. */
    private final int[] firstOrdinals;

    private final int tasksPerOccurrence;

    /** Number of tasks that are on runners. */
    int tasksOnRunners;

    /**
     * The terms under which the job runs: those of its queue, or the last ones known where the configuration lacks it.
     * Empty until they are known; nothing is started and no failure is final before.
     */
    Optional<JobTerms> terms;

    String service;
    long addedAtMs;
    long objectiveMs;
    /** The decided state, which may not be durable yet. */
    JobStatus status = JobStatus.QUEUED;
    /** The state as last committed. */
    JobStatus recordedStatus = JobStatus.QUEUED;

    long finalAtMs;

    /** Whether the progress is stored in rows by range of tasks, and no longer in a single one. */
    boolean storedInRanges;

    /** The further rows of the progress that may be stored. */
    final BitSet furtherRows = new BitSet();

    /** Whether the progress cannot be recorded for now, so that nothing of the job is started. */
    boolean setAside;

    /** Whether it was reported how the job fared. */
    boolean outcomeReported;

    JobState(JobRequest request, long nowMs) {
        this.request = request;
        this.service = request.service();
        this.terms = request.terms();
        this.addedAtMs = nowMs;
        this.firstOrdinals = new int[request.steps().size()];
        int count = 0;
        for (int i = 0; i < firstOrdinals.length; i++) {
            firstOrdinals[i] = count;
            count += request.steps().get(i).count();
        }
        this.tasksPerOccurrence = count;
        if (!request.schedule().isScheduled()) {
            open(0);
        }
    }

    private int taskCount() {
        return tasksPerOccurrence * occurrenceCount();
    }

    private int occurrenceCount() {
        return request.schedule().occurrenceCount();
    }

    /** Returns the number of rows that the progress takes if it is stored by range of tasks. */
    int rowCount() {
        return ProgressLayout.rowOf(Math.max(0, taskCount() - 1)) + 1;
    }

    /** Returns the number of a task in the job. */
    int ordinal(int occurrence, int step, int index) {
        return occurrence * tasksPerOccurrence + firstOrdinals[step] + index;
    }

    boolean contains(int occurrence, int number, int index) {
        return occurrence >= 0
                && occurrence < occurrenceCount()
                && number >= 0
                && number < firstOrdinals.length
                && index >= 0
                && index < request.steps().get(number).count();
    }

    Collection<OccurrenceState> openOccurrences() {
        return Collections.unmodifiableCollection(open.values());
    }

    /** Returns the steps of the open occurrences. */
    List<StepState> openSteps() {
        if (open.size() == 1) {
            return open.values().iterator().next().steps;
        }
        List<StepState> steps = new ArrayList<>();
        open.values().forEach(occurrence -> steps.addAll(occurrence.steps));
        return steps;
    }

    boolean isOpen(int occurrence) {
        return open.containsKey(occurrence);
    }

    /** Returns the state of an occurrence that is not complete; it is open from then on. */
    OccurrenceState open(int occurrence) {
        return open.computeIfAbsent(occurrence, index -> new OccurrenceState(this, index));
    }

    /** Returns the next occurrence to be opened, empty once all are open or complete. */
    OptionalInt nextOccurrence() {
        while (nextOccurrence < occurrenceCount()
                && (open.containsKey(nextOccurrence) || completeOccurrences.get(nextOccurrence))) {
            nextOccurrence++;
        }
        return nextOccurrence < occurrenceCount() ? OptionalInt.of(nextOccurrence) : OptionalInt.empty();
    }

    /** Returns whether another occurrence may be opened besides those that are open. */
    boolean mayOpenAnother() {
        return open.isEmpty() || (open.size() + 1) * firstOrdinals.length <= JobMemory.MAX_OPEN_STEPS;
    }

    /** Records a complete occurrence of which no state is kept but the last run of each task. */
    void restoreComplete(int occurrence, short[] runs) {
        if (lastRuns.length == 0) {
            lastRuns = new short[taskCount()];
        }
        System.arraycopy(runs, 0, lastRuns, occurrence * tasksPerOccurrence, tasksPerOccurrence);
        completeOccurrences.set(occurrence);
    }

    /** Drops the state of an occurrence of a scheduled job once it is complete. */
    void closeIfComplete(OccurrenceState occurrence) {
        if (!request.schedule().isScheduled() || !occurrence.complete()) {
            return;
        }
        short[] runs = new short[tasksPerOccurrence];
        for (StepState step : occurrence.steps) {
            for (int index = 0; index < step.tasks.size(); index++) {
                runs[firstOrdinals[step.number] + index] = step.tasks.lastRun(index);
            }
        }
        restoreComplete(occurrence.index, runs);
        open.remove(occurrence.index);
    }

    boolean isComplete(int occurrence) {
        return completeOccurrences.get(occurrence);
    }

    int tasksPerOccurrence() {
        return tasksPerOccurrence;
    }

    /** Returns a description of a task of a complete occurrence, which changes nothing. */
    TaskState completedTask(int occurrence, int number, int index) {
        StepState step = new OccurrenceState(this, occurrence).steps.get(number);
        TaskState task = new TaskState(step, index, ordinal(occurrence, number, index));
        task.phase = TaskState.Phase.DONE;
        task.run = lastRuns[task.ordinal];
        return task;
    }

    /** Returns the state of a job without a schedule. */
    OccurrenceState onlyOccurrence() {
        return open(0);
    }

    boolean complete() {
        return request.schedule().isScheduled()
                ? open.isEmpty() && nextOccurrence().isEmpty()
                : onlyOccurrence().complete();
    }

    /** Returns the state that clients may see; a final state is shown only once it is durable. */
    JobStatus visibleStatus() {
        if (!status.isFinal() || recordedStatus.isFinal()) {
            return status;
        }
        return recordedStatus == JobStatus.QUEUED ? JobStatus.RUNNING : recordedStatus;
    }

    int priority() {
        return terms.map(JobTerms::priority).orElse(Integer.MAX_VALUE);
    }

    /** Returns the timing of advice requests, empty where any runner may run the tasks. */
    Optional<AdviceTiming> advice() {
        return terms.flatMap(JobTerms::advice);
    }

    /** Returns whether tasks of the job may be placed. */
    boolean placeable() {
        return terms.isPresent() && !setAside;
    }

    /** Returns whether a task has failed as often as the terms allow. */
    boolean exhausted(TaskState task) {
        return terms.isPresent()
                && !task.step.spec.hasTrait(Trait.RESTART_ALWAYS)
                && task.failures >= terms.get().attempts();
    }

    /** Returns whether any task has failed as often as the terms allow. */
    boolean exhausted() {
        for (StepState step : openSteps()) {
            for (TaskState task : step.tasks) {
                if (exhausted(task)) {
                    return true;
                }
            }
        }
        return false;
    }

    /** Returns whether a task of the job is on a runner, and so may still be at work. */
    boolean hasTasksOnRunners() {
        return tasksOnRunners > 0;
    }

    /** Returns the records of the tasks that have been placed and belong to a row; none once the job has ended. */
    private List<TaskRecord> recordsOfRow(int row) {
        int first = storedInRanges ? row * ProgressLayout.TASKS_PER_ROW : 0;
        int end = storedInRanges ? Math.min(taskCount(), first + ProgressLayout.TASKS_PER_ROW) : taskCount();
        List<TaskRecord> records = new ArrayList<>();
        if (status.isFinal()) {
            return records;
        }
        for (int occurrence = first / tasksPerOccurrence; occurrence * tasksPerOccurrence < end; occurrence++) {
            OccurrenceState state = open.get(occurrence);
            if (state != null) {
                addRecords(state, first, end, records);
            } else if (isComplete(occurrence)) {
                addRecordsOfComplete(occurrence, first, end, records);
            }
        }
        return records;
    }

    private static void addRecords(OccurrenceState occurrence, int first, int end, List<TaskRecord> records) {
        for (StepState step : occurrence.steps) {
            int firstIndex = Math.max(0, first - step.tasks.ordinal(0));
            int endIndex = Math.min(step.tasks.size(), end - step.tasks.ordinal(0));
            for (int index = firstIndex; index < endIndex; index++) {
                if (step.tasks.wasPlaced(index)) {
                    records.add(step.tasks.get(index).record());
                }
            }
        }
    }

    private void addRecordsOfComplete(int occurrence, int first, int end, List<TaskRecord> records) {
        for (int number = 0; number < firstOrdinals.length; number++) {
            int firstOrdinal = ordinal(occurrence, number, 0);
            int count = request.steps().get(number).count();
            for (int ordinal = Math.max(first, firstOrdinal);
                    ordinal < Math.min(end, firstOrdinal + count);
                    ordinal++) {
                if (lastRuns[ordinal] > 0) {
                    records.add(new TaskRecord(
                            occurrence,
                            number,
                            ordinal - firstOrdinal,
                            true,
                            lastRuns[ordinal],
                            0,
                            "",
                            Optional.empty()));
                }
            }
        }
    }

    /** Returns the rows to which tasks belong that have been placed. */
    BitSet rowsWithRecords() {
        BitSet rows = new BitSet();
        for (StepState step : openSteps()) {
            for (int index = 0; index < step.tasks.size(); index++) {
                if (step.tasks.wasPlaced(index)) {
                    rows.set(ProgressLayout.rowOf(step.tasks.ordinal(index)));
                }
            }
        }
        for (int ordinal = 0; ordinal < lastRuns.length; ordinal++) {
            if (lastRuns[ordinal] > 0) {
                rows.set(ProgressLayout.rowOf(ordinal));
            }
        }
        return rows;
    }

    /** Returns the memory that the runs of complete occurrences take. */
    long arrayBytes() {
        return (long) lastRuns.length * Short.BYTES;
    }

    /** Returns the stored form of a row of the job's progress. */
    String encodeRow(int row) {
        List<TaskRecord> records = recordsOfRow(row);
        return row == 0 ? JobCodec.encode(new JobRecord(status, records)) : JobCodec.encodeTasks(records);
    }
}
