package org.pollensill.job;

/** State of a job as its client sees it. */
public enum JobStatus {
    /** Accepted; no task has started. */
    QUEUED,
    /** A task has started. */
    RUNNING,
    /** All tasks have ended well. */
    DONE,
    /** A task has failed too often. */
    FAILED,
    /** Cancelled by its client. */
    CANCELLED;

    /**
     * Returns whether the state is final.
     *
     * @return whether it never changes again
     */
    public boolean isFinal() {
        return this == DONE || this == FAILED || this == CANCELLED;
    }
}
