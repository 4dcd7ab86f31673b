package org.pollensill.runtime.boot;

import org.pollensill.error.PollensillException;

/** A long-running process. */
public interface Daemon {

    /**
     * Starts serving and returns.
     *
     * @throws PollensillException if it cannot start
     */
    void start() throws PollensillException;

    /** Shuts down gracefully. Returns when no work is in progress or the shutdown timeout has passed. */
    void stop();

    /** Creates a daemon from its boot file. */
    @FunctionalInterface
    interface Factory {

        /**
         * Creates the daemon without starting it.
         *
         * @param boot the boot file's values
         * @return the daemon
         * @throws PollensillException if the values are invalid for this daemon
         */
        Daemon create(BootFile boot) throws PollensillException;
    }
}
