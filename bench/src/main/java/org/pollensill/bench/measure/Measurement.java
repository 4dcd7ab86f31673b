package org.pollensill.bench.measure;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;

/** One subcommand of {@code bin/measure}. */
interface Measurement {

    /**
     * Runs the measurement and stops all processes that it started.
     *
     * @param home root of the repository
     * @param directory directory for configurations and logs
     * @return the results by key
     * @throws IOException if a process does not start or respond
     * @throws InterruptedException if the run is interrupted
     */
    Map<String, Object> run(Path home, Path directory) throws IOException, InterruptedException;
}
