package org.pollensill.job;

/** What is special about the tasks of a step. */
public enum Trait {
    /** The tasks save their progress and resume from it. */
    CHECKPOINTS,
    /** The tasks work only together and end together. */
    GANG,
    /** The tasks are slower when they run on more than one rack. */
    SINGLE_RACK,
    /** Copies of a task may run in parallel; the first to end counts. */
    DUPLICATES_ALLOWED,
    /** The tasks run until the job is cancelled and are restarted however they end. */
    RESTART_ALWAYS,
    /** The tasks take processors that other tasks leave unused; only their memory is counted. */
    FILLS
}
