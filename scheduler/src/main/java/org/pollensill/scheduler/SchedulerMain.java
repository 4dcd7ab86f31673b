package org.pollensill.scheduler;

import org.pollensill.runtime.boot.Launcher;

/** Entry point of {@code bin/pollensill-scheduler}. */
public final class SchedulerMain {

    private SchedulerMain() {}

    /**
     * Runs the daemon until the process is asked to stop.
     *
     * @param arguments the command line
     */
    public static void main(String[] arguments) {
        Launcher launcher = Launcher.of(
                "pollensill-scheduler",
                "Places batch tasks on the workers of a zone.",
                SchedulerDaemon::new,
                System.out,
                System.err);
        int code = launcher.run(arguments);
        if (code != 0) {
            System.exit(code);
        }
    }
}
