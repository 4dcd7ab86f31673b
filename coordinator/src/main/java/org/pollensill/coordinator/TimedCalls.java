package org.pollensill.coordinator;

import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import org.pollensill.retry.TargetTimeouts;
import org.pollensill.retry.TimeoutBounds;
import org.pollensill.runtime.event.EventLog;

/**
 * Calls to runners with timeouts that follow the measured time to an answer. A timeout does not end a call: an answer
 * that arrives later is still passed on, and its time is measured.
 */
final class TimedCalls {

    private static final EventLog LOG = EventLog.of(TimedCalls.class);

    /** Bounds of the timeout of a call; the minimum covers several round trips to another region. */
    private static final TimeoutBounds TIMEOUT_BOUNDS = new TimeoutBounds(150, 400, 2_000);

    /** Maximum number of runners with a timeout of their own; one leader schedules for a few hundred. */
    private static final int MAX_TARGETS = 2_048;

    /** Minimum time for which an answer is awaited; the connection of the call is in use until then. */
    private static final long MIN_PATIENCE_MS = 2_000;

    /** Time for which an answer is awaited, in timeouts. */
    private static final long PATIENCE_TIMEOUTS = 4;

    /** Delay of the event loop beyond which answers may be waiting to be read when a timeout fires. */
    private static final long LATE_TIMER_MS = 50;

    /** Timeout over all runners above which answers count as delayed, in minimum timeouts. */
    private static final double CONGESTION_BEGIN_TIMEOUTS = 2;

    /** Timeout over all runners below which answers count as timely again, in minimum timeouts. */
    private static final double CONGESTION_END_TIMEOUTS = 1.2;

    /** Starts a call that awaits its answer for a time. */
    @FunctionalInterface
    interface Call<T> {
        CompletableFuture<T> start(long patienceMs);
    }

    /** Handles the outcome of a call: an answer, a timeout, or a timeout and then a late answer. */
    interface Handler<T> {

        /** Returns whether a result is an answer of the runner or certain by itself, and not a failure of the call. */
        boolean isAnswer(T result);

        void onAnswer(T answer);

        /** Called when the timeout has passed, or the call has failed, without an answer. */
        void onTimeout();
    }

    private final LongSupplier clockMs;
    private final Timer timer;
    private final Consumer<Runnable> executor;
    private final CoordinatorMetrics metrics;
    private final BooleanSupplier active;
    private final Runnable afterHandling;
    private final TargetTimeouts timeouts = TargetTimeouts.of(TIMEOUT_BOUNDS, MAX_TARGETS);
    private boolean congested;

    /**
     * Creates the calls of one leader.
     *
     * @param clockMs the monotonic clock
     * @param timer runs an action on the event loop after a delay
     * @param executor runs an action on the event loop
     * @param metrics counts timeouts and late answers
     * @param active whether outcomes are still handled
     * @param afterHandling runs after each handled outcome
     */
    TimedCalls(
            LongSupplier clockMs,
            Timer timer,
            Consumer<Runnable> executor,
            CoordinatorMetrics metrics,
            BooleanSupplier active,
            Runnable afterHandling) {
        this.clockMs = Objects.requireNonNull(clockMs, "clockMs is null");
        this.timer = Objects.requireNonNull(timer, "timer is null");
        this.executor = Objects.requireNonNull(executor, "executor is null");
        this.metrics = Objects.requireNonNull(metrics, "metrics is null");
        this.active = Objects.requireNonNull(active, "active is null");
        this.afterHandling = Objects.requireNonNull(afterHandling, "afterHandling is null");
    }

    long timeoutMs() {
        return timeouts.sharedTimeoutMs();
    }

    boolean congested() {
        return congested;
    }

    /**
     * Sends a call.
     *
     * @param target the runner
     * @param waitMs time that the runner may wait before it answers
     * @param minTimeoutMs the minimum timeout, not counting the wait
     * @param call starts the call
     * @param handler handles its outcome
     */
    <T> void send(String target, long waitMs, long minTimeoutMs, Call<T> call, Handler<T> handler) {
        long timeoutMs = Math.max(minTimeoutMs, timeouts.timeoutMs(target));
        PendingCall<T> pending = new PendingCall<>(target, waitMs, handler);
        pending.scheduleTimeout(waitMs + timeoutMs);
        call.start(waitMs + Math.max(MIN_PATIENCE_MS, PATIENCE_TIMEOUTS * timeoutMs))
                .whenComplete((result, failure) -> executor.accept(() -> pending.onResult(result, failure)));
    }

    private void measure(String target, long elapsedMs) {
        timeouts.answered(target, elapsedMs);
        double limit = congested ? CONGESTION_END_TIMEOUTS : CONGESTION_BEGIN_TIMEOUTS;
        boolean delayed = timeouts.sharedTimeoutMs() > limit * TIMEOUT_BOUNDS.minMs();
        if (delayed != congested) {
            congested = delayed;
            LOG.log(
                    delayed ? CoordinatorEvent.RUNNER_ANSWERS_DELAYED : CoordinatorEvent.RUNNER_ANSWERS_TIMELY,
                    "timeoutMs",
                    timeouts.sharedTimeoutMs());
        }
    }

    private final class PendingCall<T> {

        private final String target;
        private final long waitMs;
        private final Handler<T> handler;
        private final long sentAtMs = clockMs.getAsLong();
        private Runnable cancelTimeout = () -> {};
        private boolean timedOut;

        private PendingCall(String target, long waitMs, Handler<T> handler) {
            this.target = target;
            this.waitMs = waitMs;
            this.handler = handler;
        }

        private void scheduleTimeout(long delayMs) {
            long dueMs = clockMs.getAsLong() + delayMs;
            cancelTimeout = timer.schedule(delayMs, () -> {
                long lateMs = clockMs.getAsLong() - dueMs;
                if (lateMs > LATE_TIMER_MS) {
                    // The process was delayed itself, so the answer may have arrived and not been read yet.
                    scheduleTimeout(Math.min(lateMs, TIMEOUT_BOUNDS.minMs()));
                    return;
                }
                onTimeout();
            });
        }

        private void onTimeout() {
            timedOut = true;
            if (active.getAsBoolean()) {
                metrics.answerTimedOut();
                handler.onTimeout();
                afterHandling.run();
            }
        }

        private void onResult(T result, Throwable failure) {
            cancelTimeout.run();
            if (!active.getAsBoolean()) {
                return;
            }
            if (failure != null) {
                LOG.log(CoordinatorEvent.INTERNAL_FAILURE, failure, new Object[] {"runner", target});
            }
            if (failure != null || !handler.isAnswer(result)) {
                if (!timedOut) {
                    onTimeout();
                }
                return;
            }
            // A long poll that is answered before its wait ends does not show how long the answer took.
            long elapsedMs = clockMs.getAsLong() - sentAtMs;
            if (elapsedMs >= waitMs) {
                measure(target, elapsedMs - waitMs);
            }
            if (timedOut) {
                metrics.answeredLate();
            }
            handler.onAnswer(result);
            afterHandling.run();
        }
    }
}
