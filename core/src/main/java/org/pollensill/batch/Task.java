package org.pollensill.batch;

import java.util.ArrayList;
import java.util.List;

import org.pollensill.worker.Resources;

/** A task of a job. It changes only by log records. */
final class Task {

    /** Maximum number of history entries that a task's explanation shows; older ones are dropped. */
    private static final int MAX_HISTORY_ENTRIES = 8;

    private final Job job;
    private final int index;
    private TaskState state = TaskState.QUEUED;
    private int attempt;
    private String worker = "";
    private String resumeFrom = "";
    private String checkpointId = "";
    private Resources allocated = Resources.NONE;
    private int failures;
    private long position;
    private List<String> history = List.of();

    Task(Job job, int index) {
        this.job = job;
        this.index = index;
    }

    void placed(LogRecord.Placed placement) {
        state = TaskState.PLACED;
        attempt = placement.attempt();
        worker = placement.worker();
        checkpointId = "";
        allocated = placement.allocated();
        addToHistory("attempt " + attempt + " placed on " + worker
                + (placement.resumeFrom().isEmpty() ? "" : ", resuming from checkpoint " + placement.resumeFrom()));
    }

    /** Requeues the task. A requested checkpoint may still be reported before the next attempt. */
    void queued(String reason) {
        state = TaskState.QUEUED;
        allocated = Resources.NONE;
        addToHistory("attempt " + attempt + " ended on " + worker + ": " + reason);
    }

    void evicting(String newCheckpointId, String reason) {
        state = TaskState.EVICTING;
        checkpointId = newCheckpointId;
        addToHistory("attempt " + attempt + " is being evicted from " + worker + ": " + reason);
    }

    void checkpointed(String confirmedCheckpointId) {
        checkpointFound(confirmedCheckpointId);
        queued("stopped at checkpoint " + confirmedCheckpointId);
    }

    void failed() {
        failures++;
    }

    void restoreFailures(int count) {
        failures = count;
    }

    void checkpointFound(String confirmedCheckpointId) {
        resumeFrom = confirmedCheckpointId;
        checkpointId = "";
    }

    void ended(TaskState endState, String reason) {
        state = endState;
        checkpointId = "";
        allocated = Resources.NONE;
        addToHistory("attempt " + attempt + (worker.isEmpty() ? "" : " on " + worker) + ": " + reason);
    }

    /** Restores a task from a snapshot. */
    void restore(
            TaskState newState, int newAttempt, String newWorker, String resume, String checkpoint, Resources amount) {
        state = newState;
        attempt = newAttempt;
        worker = newWorker;
        resumeFrom = resume;
        checkpointId = checkpoint;
        allocated = amount;
    }

    void changedAt(long newPosition) {
        position = newPosition;
    }

    private void addToHistory(String entry) {
        if (history.isEmpty()) {
            history = new ArrayList<>(2);
        } else if (history.size() == MAX_HISTORY_ENTRIES) {
            history.remove(0);
        }
        history.add(entry);
    }

    TaskId id() {
        return new TaskId(job.id(), index);
    }

    Job job() {
        return job;
    }

    int index() {
        return index;
    }

    TaskState state() {
        return state;
    }

    int attempt() {
        return attempt;
    }

    String worker() {
        return worker;
    }

    String resumeFrom() {
        return resumeFrom;
    }

    String checkpointId() {
        return checkpointId;
    }

    Resources allocated() {
        return allocated;
    }

    int failures() {
        return failures;
    }

    long position() {
        return position;
    }

    List<String> history() {
        return List.copyOf(history);
    }
}
