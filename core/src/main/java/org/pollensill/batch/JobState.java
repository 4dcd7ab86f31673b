package org.pollensill.batch;

/** State of a job. */
public enum JobState {
    /** Has unfinished tasks. */
    ACTIVE,
    /** Cancelled: no task is started, and placed tasks are stopped. */
    CANCELLED,
    /** Failed: no task is started, and placed tasks are stopped. */
    FAILED,
    /** All tasks finished successfully. */
    FINISHED
}
