package org.pollensill.coordinator;

import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;

import org.pollensill.error.Failures;
import org.pollensill.platform.PlatformException;
import org.pollensill.retry.TimeoutBounds;
import org.pollensill.retry.TimeoutEstimate;
import org.pollensill.runtime.event.EventLog;

/** Tracks the availability and the round-trip time of the store from the outcomes of its calls. */
final class StoreHealth {

    private static final EventLog LOG = EventLog.of(StoreHealth.class);

    /** Number of consecutive failed calls after which the store counts as unavailable. */
    private static final int FAILURES_UNTIL_UNAVAILABLE = 2;

    private static final int MAX_TIMEOUT_DOUBLINGS = 2;

    /** Number of recent calls whose minimum is the round-trip time; the first calls of a new process are slow. */
    private static final int RECENT_CALLS = 5;

    /** Round-trip time before the first answer: a store in the same region. */
    private static final long INITIAL_ROUND_TRIP_MS = 5;

    /** Bounds of the timeout of a call; the maximum leaves room for a store that is a hundred times slower than usual. */
    private static final TimeoutBounds TIMEOUT_BOUNDS = new TimeoutBounds(500, 1_500, 1_500);

    private final LongSupplier clockMs;
    private final TimeoutEstimate timeout = TimeoutEstimate.of(TIMEOUT_BOUNDS);
    private int consecutiveFailures;
    private boolean unavailable;
    private long failingSinceMs;
    private long lastAnswerMs = Long.MIN_VALUE / 2;
    private final long[] recentRoundTripsMs = new long[RECENT_CALLS];
    private int callCount;

    StoreHealth(LongSupplier clockMs) {
        this.clockMs = Objects.requireNonNull(clockMs, "clockMs is null");
    }

    /** Tracks the outcome and the duration of a call, and returns the call. */
    <T> CompletableFuture<T> track(CompletableFuture<T> call) {
        long sentMs = clockMs.getAsLong();
        call.whenComplete((answer, failure) -> {
            if (failure == null) {
                long tookMs = clockMs.getAsLong() - sentMs;
                timeout.answered(tookMs);
                recentRoundTripsMs[callCount++ % recentRoundTripsMs.length] = tookMs;
                recordAnswer();
            } else {
                recordFailure(failure);
            }
        });
        return call;
    }

    /** Tracks the outcome of a long poll, whose duration does not reflect the round-trip time. */
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
        if (consecutiveFailures == 0) {
            failingSinceMs = clockMs.getAsLong();
        }
        consecutiveFailures++;
        if (consecutiveFailures >= FAILURES_UNTIL_UNAVAILABLE && !unavailable) {
            unavailable = true;
            String problem = Failures.unwrap(failure) instanceof PlatformException platform
                    ? platform.getMessage()
                    : String.valueOf(failure);
            LOG.log(CoordinatorEvent.STORE_UNAVAILABLE, "problem", problem, "failures", consecutiveFailures);
        }
    }

    /**
     * Returns the timeout of the next call. It follows the measured time to an answer and doubles with each call that
     * fails in a row, since a store that has become slow gives no answer to measure.
     */
    long timeoutMs() {
        long doubled = timeout.timeoutMs() << Math.min(consecutiveFailures, MAX_TIMEOUT_DOUBLINGS);
        return Math.min(TIMEOUT_BOUNDS.maxMs(), doubled);
    }

    /** Returns for how long calls have failed without an answer in between, 0 while the last one was answered. */
    long outageMs() {
        return consecutiveFailures == 0
                ? 0
                : clockMs.getAsLong() - Math.max(lastAnswerMs, failingSinceMs - timeoutMs());
    }

    boolean available() {
        return !unavailable;
    }

    /** Returns the time since the last successful answer. */
    long sinceLastAnswerMs() {
        return clockMs.getAsLong() - lastAnswerMs;
    }

    /** Returns the minimum duration of the recent calls. */
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
