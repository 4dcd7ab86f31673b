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
    private static final int FAILURES_UNTIL_UNAVAILABLE = 2;

    /** Calls of which the fastest tells the way to the store; the first ones of a new process are slow. */
    private static final int RECENT_CALLS = 5;

    /** Round trip that is assumed before the first call: a store in the same region. */
    private static final long INITIAL_ROUND_TRIP_MS = 5;

    private final LongSupplier clockMs;
    private int consecutiveFailures;
    private boolean unavailable;
    private long lastAnswerMs = Long.MIN_VALUE / 2;
    private final long[] recentRoundTripsMs = new long[RECENT_CALLS];
    private int callCount;

    StoreHealth(LongSupplier clockMs) {
        this.clockMs = Objects.requireNonNull(clockMs, "clockMs is null");
    }

    /** Watches a call and passes it on. */
    <T> CompletableFuture<T> track(CompletableFuture<T> call) {
        long sentMs = clockMs.getAsLong();
        call.whenComplete((answer, failure) -> {
            if (failure == null) {
                recentRoundTripsMs[callCount++ % recentRoundTripsMs.length] = clockMs.getAsLong() - sentMs;
                recordAnswer();
            } else {
                recordFailure(failure);
            }
        });
        return call;
    }

    /** Watches a call that waits for changes, whose duration tells nothing about the way to the store. */
    <T> CompletableFuture<T> trackLongPoll(CompletableFuture<T> call) {
        call.whenComplete((answer, failure) -> {
            if (failure == null) {
                recordAnswer();
            } else {
                recordFailure(failure);
            }
        });
        return call;
    }

    private void recordAnswer() {
        consecutiveFailures = 0;
        lastAnswerMs = clockMs.getAsLong();
        if (unavailable) {
            unavailable = false;
            LOG.log(CoordinatorEvent.STORE_AVAILABLE);
        }
    }

    private void recordFailure(Throwable failure) {
        consecutiveFailures++;
        if (consecutiveFailures >= FAILURES_UNTIL_UNAVAILABLE && !unavailable) {
            unavailable = true;
            String problem = Failures.unwrap(failure) instanceof PlatformException platform
                    ? platform.getMessage()
                    : String.valueOf(failure);
            LOG.log(CoordinatorEvent.STORE_UNAVAILABLE, "problem", problem, "failures", consecutiveFailures);
        }
    }

    boolean available() {
        return !unavailable;
    }

    /** Returns for how long no call has been answered. */
    long sinceLastAnswerMs() {
        return clockMs.getAsLong() - lastAnswerMs;
    }

    /** Returns the time of the fastest recent call. */
    long roundTripMs() {
        if (callCount == 0) {
            return INITIAL_ROUND_TRIP_MS;
        }
        long minMs = Long.MAX_VALUE;
        for (int i = 0; i < Math.min(callCount, recentRoundTripsMs.length); i++) {
            minMs = Math.min(minMs, recentRoundTripsMs[i]);
        }
        return Math.max(1, minMs);
    }
}
