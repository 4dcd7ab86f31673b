package org.pollensill.entry;

import org.pollensill.runtime.boot.Launcher;

/** Starts the entry daemon. */
public final class EntryMain {

    private EntryMain() {}

    /**
     * Runs the daemon.
     *
     * @param arguments the command line
     */
    public static void main(String[] arguments) {
        int exitCode = Launcher.of(
                        "pollensill-entry",
                        "Accepts callers' requests and dispatches them to the upstreams of its zone.",
                        EntryDaemon::new,
                        System.out,
                        System.err)
                .run(arguments);
        if (exitCode != Launcher.EXIT_OK) {
            System.exit(exitCode);
        }
    }
}
