package org.pollensill.batch;

/** State of a task in the log. */
public enum TaskState {
    /** Waits for a worker. */
    QUEUED,
    /** Assigned to a worker, on which it may run. */
    PLACED,
    /** Still placed while its checkpoint is requested, after which the task is requeued. */
    EVICTING,
    /** Finished successfully. */
    FINISHED,
    /** Ended because its job failed. */
    FAILED,
    /** Ended because its job was cancelled. */
    CANCELLED;

    /**
     * Returns whether the task may run on its worker.
     *
     * @return whether it is placed
     */
    public boolean isPlaced() {
        return this == PLACED || this == EVICTING;
    }

    /**
     * Returns whether the task has ended and never runs again.
     *
     * @return whether it has ended
     */
    public boolean isEnded() {
        return this == FINISHED || this == FAILED || this == CANCELLED;
    }
}
