package org.pollensill.coordinator;

import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;

import org.pollensill.error.Failures;
import org.pollensill.platform.PlatformException;
import org.pollensill.runtime.event.EventLog;

/** Whether the store answers this process, judged by its calls. */
final class StoreHealth {

    private static final EventLog LOG = EventLog.of(StoreHealth.class);

    /** Calls in a row that must fail before the store counts as lost. */
    private static final int FAILURES_TO_LOSE = 2;

    /** Weight of the newest call in the smoothed round trip. */
    private static final double SMOOTHING = 0.2;

    private final LongSupplier clockMs;
    private int failures;
    private boolean lost;
    private double roundTripMs = 5;

    StoreHealth(LongSupplier clockMs) {
        this.clockMs = Objects.requireNonNull(clockMs, "clockMs is null");
    }

    /** Watches a call and passes it on. */
    <T> CompletableFuture<T> watch(CompletableFuture<T> call) {
        long sentMs = clockMs.getAsLong();
        call.whenComplete((answer, failure) -> {
            if (failure == null) {
                roundTripMs += SMOOTHING * (clockMs.getAsLong() - sentMs - roundTripMs);
                answered();
            } else {
                failed(failure);
            }
        });
        return call;
    }

    /** Watches a call that waits for changes, whose duration tells nothing about the way to the store. */
    <T> CompletableFuture<T> watchWaiting(CompletableFuture<T> call) {
        call.whenComplete((answer, failure) -> {
            if (failure == null) {
                answered();
            } else {
                failed(failure);
            }
        });
        return call;
    }

    private void answered() {
        failures = 0;
        if (lost) {
            lost = false;
            LOG.log(CoordinatorEvent.STORE_REGAINED);
        }
    }

    private void failed(Throwable failure) {
        failures++;
        if (failures >= FAILURES_TO_LOSE && !lost) {
            lost = true;
            String problem = Failures.unwrap(failure) instanceof PlatformException platform
                    ? platform.getMessage()
                    : String.valueOf(failure);
            LOG.log(CoordinatorEvent.STORE_LOST, "problem", problem, "failures", failures);
        }
    }

    boolean available() {
        return !lost;
    }

    /** Returns the smoothed time of a call. */
    long roundTripMs() {
        return Math.max(1, (long) roundTripMs);
    }
}
