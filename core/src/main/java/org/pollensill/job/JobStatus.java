package org.pollensill.job;

/** State of a job as reported to its client. */
public enum JobStatus {
    /** Accepted; no task has started. */
    QUEUED,
    /** A task has started. */
    RUNNING,
    /** All tasks have completed successfully. */
    DONE,
    /** A task has used up its attempts. */
    FAILED,
    /** Cancelled by its client. */
    CANCELLED;

    /**
     * Returns whether the state is final.
     *
     * @return true if the state never changes again
     */
    public boolean isFinal() {
        return this == DONE || this == FAILED || this == CANCELLED;
    }
}
