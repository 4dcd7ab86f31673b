package org.pollensill.coordinator;

import java.util.Objects;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import org.pollensill.runtime.event.EventLog;

/** The event loop on which everything runs, with its clocks. */
final class CoordinatorLoop {

    private static final EventLog LOG = EventLog.of(CoordinatorLoop.class);
    private static final long NANOS_PER_MS = 1_000_000;

    private final EventLoop eventLoop;

    CoordinatorLoop(EventLoop eventLoop) {
        this.eventLoop = Objects.requireNonNull(eventLoop, "executor is null");
    }

    /** Returns the monotonic time. */
    long nowMs() {
        return System.nanoTime() / NANOS_PER_MS;
    }

    /** Returns the time of day. */
    long wallClockMs() {
        return System.currentTimeMillis();
    }

    void execute(Runnable action) {
        if (eventLoop.inEventLoop()) {
            runLoggingFailures(action);
            return;
        }
        eventLoop.execute(() -> runLoggingFailures(action));
    }

    void schedule(long delayMs, Runnable action) {
        eventLoop.schedule(() -> runLoggingFailures(action), delayMs, TimeUnit.MILLISECONDS);
    }

    /** Runs an action now and again after each pause. */
    void scheduleWithFixedDelay(long pauseMs, Runnable action) {
        eventLoop.scheduleWithFixedDelay(() -> runLoggingFailures(action), 0, pauseMs, TimeUnit.MILLISECONDS);
    }

    private static void runLoggingFailures(Runnable action) {
        try {
            action.run();
        } catch (RuntimeException e) {
            // A fault in one action must not end the timers of the others.
            LOG.log(CoordinatorEvent.INTERNAL_FAILURE, e, new Object[] {"at", topFrame(e)});
        }
    }

    private static String topFrame(RuntimeException failure) {
        StackTraceElement[] frames = failure.getStackTrace();
        return frames.length == 0 ? "" : frames[0].toString();
    }
}
