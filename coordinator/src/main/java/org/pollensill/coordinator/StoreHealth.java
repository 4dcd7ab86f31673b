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

    /** Calls of which the fastest tells the way to the store; the first ones of a new process are slow. */
    private static final int RECENT_CALLS = 5;

    /** Round trip that is assumed before the first call: a store in the same region. */
    private static final long ASSUMED_MS = 5;

    private final LongSupplier clockMs;
    private int failures;
    private boolean lost;
    private long answeredAtMs = Long.MIN_VALUE / 2;
    private final long[] recentMs = new long[RECENT_CALLS];
    private int calls;

    StoreHealth(LongSupplier clockMs) {
        this.clockMs = Objects.requireNonNull(clockMs, "clockMs is null");
    }

    /** Watches a call and passes it on. */
    <T> CompletableFuture<T> watch(CompletableFuture<T> call) {
        long sentMs = clockMs.getAsLong();
        call.whenComplete((answer, failure) -> {
            if (failure == null) {
                recentMs[calls++ % recentMs.length] = clockMs.getAsLong() - sentMs;
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
        answeredAtMs = clockMs.getAsLong();
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

    /** Returns for how long no call has been answered. */
    long silentMs() {
        return clockMs.getAsLong() - answeredAtMs;
    }

    /** Returns the time of the fastest recent call. */
    long roundTripMs() {
        if (calls == 0) {
            return ASSUMED_MS;
        }
        long fastestMs = Long.MAX_VALUE;
        for (int i = 0; i < Math.min(calls, recentMs.length); i++) {
            fastestMs = Math.min(fastestMs, recentMs[i]);
        }
        return Math.max(1, fastestMs);
    }
}
