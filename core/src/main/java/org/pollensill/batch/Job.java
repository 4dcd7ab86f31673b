package org.pollensill.batch;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/** A job of a shard. Its durable state changes only by log records. */
final class Job {

    private final String id;
    private final long number;
    private final long submittedMs;
    private final JobSpec spec;
    private final List<Task> tasks;
    private final Deque<Task> queued = new ArrayDeque<>();
    private final Set<String> failedOn = new TreeSet<>();
    private int endedTasks;
    private int placedTasks;
    private JobState state = JobState.ACTIVE;
    private String reason = "";
    private long position;
    private String waitsFor = "has not been evaluated for placement yet";

    Job(String id, long submittedMs, JobSpec spec) {
        this.id = id;
        this.number = Long.parseLong(id.substring(id.lastIndexOf('-') + 1));
        this.submittedMs = submittedMs;
        this.spec = spec;
        List<Task> all = new ArrayList<>(spec.tasks());
        for (int i = 0; i < spec.tasks(); i++) {
            all.add(new Task(this, i));
        }
        tasks = List.copyOf(all);
        queued.addAll(tasks);
    }

    /** Removes a task from the queue; usually it is the head. */
    void dequeue(Task task) {
        if (queued.peekFirst() == task) {
            queued.pollFirst();
        } else {
            queued.remove(task);
        }
    }

    void enqueue(Task task) {
        queued.addLast(task);
    }

    void updateCounts(int placedChange, int endedChange) {
        placedTasks += placedChange;
        endedTasks += endedChange;
        if (state == JobState.ACTIVE && endedTasks == tasks.size()) {
            state = JobState.FINISHED;
        }
    }

    void end(JobState endState, String endReason) {
        state = endState;
        reason = endReason;
    }

    void changedAt(long newPosition) {
        position = newPosition;
    }

    void waitsFor(String waitReason) {
        waitsFor = waitReason;
    }

    boolean isEnded() {
        return endedTasks == tasks.size();
    }

    String id() {
        return id;
    }

    long number() {
        return number;
    }

    long submittedMs() {
        return submittedMs;
    }

    JobSpec spec() {
        return spec;
    }

    List<Task> tasks() {
        return tasks;
    }

    Deque<Task> queued() {
        return queued;
    }

    Set<String> failedOn() {
        return failedOn;
    }

    int endedTasks() {
        return endedTasks;
    }

    int placedTasks() {
        return placedTasks;
    }

    JobState state() {
        return state;
    }

    String reason() {
        return reason;
    }

    long position() {
        return position;
    }

    String waitsFor() {
        return waitsFor;
    }
}
