package org.pollensill.load;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import io.netty.channel.EventLoopGroup;
import org.pollensill.runtime.net.EventLoops;

/** Runs an open-loop load and reports its outcomes and latencies. */
public final class LoadGenerator {

    private static final long COMPLETION_TIMEOUT_MS = 120_000;

    private LoadGenerator() {}

    /**
     * Runs the load to completion and sends the requests reported as not run to the stand-in, if one is configured.
     *
     * @param config the configuration
     * @return the report
     * @throws IOException if the run does not complete in time or the stand-in cannot be reached
     * @throws InterruptedException if the wait is interrupted
     */
    public static LoadReport run(LoadConfig config) throws IOException, InterruptedException {
        Objects.requireNonNull(config, "config is null");
        LaneResult total = runLanes(config);
        long wrong = config.standinAdmin().isEmpty()
                ? -1
                : new NotRunReporter(config.standinAdmin()).report(total.notRunWorkIds());
        return new LoadReport(total, wrong);
    }

    static LaneResult runLanes(LoadConfig config) throws IOException, InterruptedException {
        EventLoopGroup loops = EventLoops.of(config.lanes());
        EntryHealth health = new EntryHealth(config.healthAddresses());
        health.start();
        try {
            List<CompletableFuture<LaneResult>> lanes = new ArrayList<>();
            long startNs = System.nanoTime();
            for (int i = 0; i < config.lanes(); i++) {
                lanes.add(new Lane(config, loops.next(), health, i).start(startNs));
            }
            LaneResult total = new LaneResult(config);
            for (CompletableFuture<LaneResult> lane : lanes) {
                total.add(lane.get(LoadConfig.MAX_DURATION_MS + COMPLETION_TIMEOUT_MS, TimeUnit.MILLISECONDS));
            }
            return total;
        } catch (ExecutionException | TimeoutException e) {
            throw new IOException("load generation did not complete", e);
        } finally {
            health.stop();
            loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }
}
