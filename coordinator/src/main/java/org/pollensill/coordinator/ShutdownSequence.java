package org.pollensill.coordinator;

import java.util.Objects;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * The order of a graceful shutdown. The leader lease is released while requests are still accepted, because the load
 * balancer sends requests until its health checks fail. The server stops accepting requests after a fixed delay,
 * however long the release takes.
 */
final class ShutdownSequence {

    /** Delay after which the load balancer opens no new connections: two checks, one per second, and a margin. */
    static final long BALANCER_DELAY_MS = 2_200;

    private final BiConsumer<Long, Runnable> timer;
    private final Consumer<Runnable> releaseLease;
    private final Consumer<Runnable> finishRequests;
    private boolean leaseReleased;
    private boolean requestsFinished;

    /**
     * Creates the sequence.
     *
     * @param timer runs an action after a delay in milliseconds
     * @param releaseLease releases the leader lease, then runs its argument
     * @param finishRequests stops accepting requests, answers those in progress, then runs its argument
     */
    ShutdownSequence(
            BiConsumer<Long, Runnable> timer, Consumer<Runnable> releaseLease, Consumer<Runnable> finishRequests) {
        this.timer = Objects.requireNonNull(timer, "timer is null");
        this.releaseLease = Objects.requireNonNull(releaseLease, "releaseLease is null");
        this.finishRequests = Objects.requireNonNull(finishRequests, "finishRequests is null");
    }

    /**
     * Runs the sequence.
     *
     * @param stopped runs when the lease is released and the last request is answered
     */
    void run(Runnable stopped) {
        timer.accept(
                BALANCER_DELAY_MS,
                () -> finishRequests.accept(() -> {
                    requestsFinished = true;
                    runIfComplete(stopped);
                }));
        releaseLease.accept(() -> {
            leaseReleased = true;
            runIfComplete(stopped);
        });
    }

    private void runIfComplete(Runnable stopped) {
        if (leaseReleased && requestsFinished) {
            stopped.run();
        }
    }
}
