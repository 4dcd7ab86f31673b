package org.pollensill.entry;

import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import org.pollensill.runtime.event.Event;
import org.pollensill.runtime.event.EventLog;
import org.pollensill.runtime.event.RuntimeEvent;

/**
 * Planned shutdown that does not interrupt requests in progress: hands over the slices while callers are still served,
 * then stops accepting requests, finishes forwarded requests, writes the last counters and closes all connections.
 */
final class GracefulShutdown {

    /** Slices cannot be handed over without the store; peers then take a refused connection as proof of the exit. */
    static final long MAX_HANDOVER_MS = 3_000;

    private static final EventLog LOG = EventLog.of(GracefulShutdown.class);
    private static final long MAX_COUNTER_WRITE_MS = 2_000;
    private static final long PENDING_CHECK_MS = 5;

    private final Steps steps;

    /** Shutdown steps of a daemon, in the order of their execution. */
    interface Steps {

        /** Releases the slices by committing a new view. */
        CompletableFuture<Void> handOver();

        /** Stops accepting callers' requests; completes when those in progress have been answered. */
        CompletableFuture<Void> stopCallers();

        /** Refuses new requests from peers. */
        void refuseForwards();

        /** Returns the number of forwarded requests in progress. */
        int pending();

        /** Writes the burn counters a last time. */
        CompletableFuture<Boolean> writeCounters();

        /** Closes listeners and connections. From then on peers detect that this process has exited. */
        void close();
    }

    GracefulShutdown(Steps steps) {
        this.steps = Objects.requireNonNull(steps, "steps is null");
    }

    /**
     * Runs the shutdown.
     *
     * @param drainMs maximum time for requests in progress
     */
    void run(long drainMs) {
        long endNs = System.nanoTime() + drainMs * 1_000_000;
        LOG.log(EntryEvent.DRAINING, "drainMs", drainMs);
        await(steps.handOver(), Math.min(drainMs / 2, MAX_HANDOVER_MS), EntryEvent.HANDOVER_TIMED_OUT);
        await(steps.stopCallers(), remainingMs(endNs), RuntimeEvent.STOP_TIMED_OUT);
        steps.refuseForwards();
        awaitPending(endNs);
        await(steps.writeCounters(), MAX_COUNTER_WRITE_MS, EntryEvent.COUNTERS_NOT_WRITTEN);
        steps.close();
    }

    private void awaitPending(long endNs) {
        try {
            while (steps.pending() > 0 && remainingMs(endNs) > 0) {
                Thread.sleep(PENDING_CHECK_MS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static long remainingMs(long endNs) {
        return Math.max(0, (endNs - System.nanoTime()) / 1_000_000);
    }

    private static void await(CompletableFuture<?> step, long limitMs, Event failureEvent) {
        try {
            step.get(limitMs, TimeUnit.MILLISECONDS);
        } catch (TimeoutException e) {
            LOG.log(failureEvent, "limitMs", limitMs);
        } catch (ExecutionException e) {
            LOG.log(failureEvent, e.getCause(), new Object[] {"limitMs", limitMs});
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
