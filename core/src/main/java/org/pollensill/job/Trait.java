package org.pollensill.job;

/** Special property of the tasks of a step. */
public enum Trait {
    /** The tasks write checkpoints and resume from the last one. */
    CHECKPOINTS,
    /** The tasks are scheduled as a gang: they run only together and end together. */
    GANG,
    /** The tasks are slower if they are spread over several racks. */
    SINGLE_RACK,
    /** A task may run in several copies at once; the first one to complete counts. */
    DUPLICATES_ALLOWED,
    /** The tasks run until the job is cancelled and are restarted whenever they end. */
    RESTART_ALWAYS,
    /** The tasks are best-effort: they use idle processors and reserve memory and accelerators only. */
    FILLS
}
