package org.pollensill.coordinator;

import java.util.Objects;
import java.util.concurrent.CompletableFuture;

import org.pollensill.error.Failures;
import org.pollensill.platform.PlatformException;
import org.pollensill.runtime.event.EventLog;

/** Whether the store answers this process, judged by its calls. */
final class StoreHealth {

    private static final EventLog LOG = EventLog.of(StoreHealth.class);

    /** Calls in a row that must fail before the store counts as lost. */
    private static final int FAILURES_TO_LOSE = 2;

    private final Loop loop;
    private int failures;
    private boolean lost;
    private double roundTripMs = 5;

    StoreHealth(Loop loop) {
        this.loop = Objects.requireNonNull(loop, "loop is null");
    }

    /** Watches a call and passes it on. */
    <T> CompletableFuture<T> watch(CompletableFuture<T> call) {
        long sentMs = loop.nowMs();
        call.whenComplete((answer, failure) -> {
            if (failure == null) {
                answered(loop.nowMs() - sentMs);
            } else {
                failed(failure);
            }
        });
        return call;
    }

    private void answered(long tookMs) {
        failures = 0;
        roundTripMs = roundTripMs * 0.8 + tookMs * 0.2;
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
