package org.pollensill.coordinator;

import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import org.pollensill.runtime.event.EventLog;

/** The event loop of the coordinator, with its timers and clocks. */
final class CoordinatorLoop {

    private static final EventLog LOG = EventLog.of(CoordinatorLoop.class);
    private static final long NANOS_PER_MS = 1_000_000;

    private final EventLoop executor;
    private final Consumer<Error> onError;

    /**
     * Creates a loop.
     *
     * @param executor the event loop
     * @param onError ends the process after an error that its own actions cannot handle, such as a full heap
     */
    CoordinatorLoop(EventLoop executor, Consumer<Error> onError) {
        this.executor = Objects.requireNonNull(executor, "executor is null");
        this.onError = Objects.requireNonNull(onError, "onError is null");
    }

    /** Returns the time of the monotonic clock. */
    long nowMs() {
        return System.nanoTime() / NANOS_PER_MS;
    }

    /** Returns the time of the wall clock. */
    long wallClockMs() {
        return System.currentTimeMillis();
    }

    void execute(Runnable action) {
        if (executor.inEventLoop()) {
            runLoggingFailures(action);
            return;
        }
        executor.execute(() -> runLoggingFailures(action));
    }

    /** Runs an action after a delay; the returned action cancels it. */
    Runnable schedule(long delayMs, Runnable action) {
        ScheduledFuture<?> scheduled =
                executor.schedule(() -> runLoggingFailures(action), delayMs, TimeUnit.MILLISECONDS);
        return () -> scheduled.cancel(false);
    }

    /** Runs an action at once and again with a fixed delay after each run. */
    void scheduleWithFixedDelay(long pauseMs, Runnable action) {
        executor.scheduleWithFixedDelay(() -> runLoggingFailures(action), 0, pauseMs, TimeUnit.MILLISECONDS);
    }

    private void runLoggingFailures(Runnable action) {
        try {
            action.run();
        } catch (RuntimeException | StackOverflowError e) {
            // A failure of one action must not stop the timers of others. A stack overflow leaves no other damage.
            LOG.log(CoordinatorEvent.INTERNAL_FAILURE, e, new Object[] {"at", topFrame(e)});
        } catch (Error e) {
            // What the action was doing is half done, so another process has to go on from what is stored.
            LOG.log(CoordinatorEvent.PROCESS_FAILED, e, new Object[] {"at", topFrame(e)});
            onError.accept(e);
        }
    }

    private static String topFrame(Throwable failure) {
        StackTraceElement[] frames = failure.getStackTrace();
        return frames.length == 0 ? "" : frames[0].toString();
    }
}
