package org.pollensill.coordinator;

import java.util.Objects;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import org.pollensill.runtime.event.EventLog;

/** The event loop on which everything runs, with its clocks. */
final class Loop {

    private static final EventLog LOG = EventLog.of(Loop.class);
    private static final long NANOS_PER_MS = 1_000_000;

    private final EventLoop executor;

    Loop(EventLoop executor) {
        this.executor = Objects.requireNonNull(executor, "executor is null");
    }

    /** Returns the monotonic time. */
    long nowMs() {
        return System.nanoTime() / NANOS_PER_MS;
    }

    /** Returns the time of day. */
    long wallMs() {
        return System.currentTimeMillis();
    }

    void run(Runnable action) {
        if (executor.inEventLoop()) {
            guarded(action);
            return;
        }
        executor.execute(() -> guarded(action));
    }

    void after(long delayMs, Runnable action) {
        executor.schedule(() -> guarded(action), delayMs, TimeUnit.MILLISECONDS);
    }

    /** Runs an action now and again after each pause. */
    void every(long pauseMs, Runnable action) {
        executor.scheduleWithFixedDelay(() -> guarded(action), 0, pauseMs, TimeUnit.MILLISECONDS);
    }

    private static void guarded(Runnable action) {
        try {
            action.run();
        } catch (RuntimeException e) {
            // A fault in one action must not end the timers of the others.
            LOG.log(CoordinatorEvent.INTERNAL_FAILURE, e, new Object[] {"at", firstFrame(e)});
        }
    }

    private static String firstFrame(RuntimeException failure) {
        StackTraceElement[] frames = failure.getStackTrace();
        return frames.length == 0 ? "" : frames[0].toString();
    }
}
