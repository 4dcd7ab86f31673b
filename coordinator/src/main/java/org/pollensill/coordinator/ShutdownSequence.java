package org.pollensill.coordinator;

import java.util.Objects;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * Order of a graceful shutdown. The lease is released while requests are still taken, because the balancer sends them
 * until it has noticed; requests are finished at a set time, however long the release takes.
 */
final class ShutdownSequence {

    /** Time after which the balancer sends no new connections: two checks, one a second, and their slack. */
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
     * @param releaseLease gives up the leader lease, then runs its argument
     * @param finishRequests takes no more requests, answers those in progress, then runs its argument
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
     * @param stopped runs when the lease is released and the last request answered
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
