package org.pollensill.entry;

import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import org.pollensill.runtime.event.EventLog;
import org.pollensill.runtime.event.RuntimeEvent;

/** Schedules periodic actions. A failed execution is logged and does not stop its timer. */
final class Timers {

    private static final EventLog LOG = EventLog.of(Timers.class);

    private final EventLoopGroup loops;

    Timers(EventLoopGroup loops) {
        this.loops = Objects.requireNonNull(loops, "loops is null");
    }

    /**
     * Executes an action periodically.
     *
     * @param periodMs delay between two executions
     * @param action the action
     */
    void every(long periodMs, Runnable action) {
        loops.next().scheduleWithFixedDelay(() -> runAndLogFailure(action), 0, periodMs, TimeUnit.MILLISECONDS);
    }

    /**
     * Executes an action periodically, with a longer delay while there is no work.
     *
     * @param busyMs delay while there is work
     * @param idleMs delay otherwise
     * @param isBusy whether there is work
     * @param action the action
     */
    void adaptive(long busyMs, long idleMs, BooleanSupplier isBusy, Runnable action) {
        EventLoop loop = loops.next();
        loop.execute(new Runnable() {
            @Override
            public void run() {
                runAndLogFailure(action);
                if (!loop.isShuttingDown()) {
                    loop.schedule(this, isBusy.getAsBoolean() ? busyMs : idleMs, TimeUnit.MILLISECONDS);
                }
            }
        });
    }

    private static void runAndLogFailure(Runnable action) {
        try {
            action.run();
        } catch (RuntimeException e) {
            LOG.log(RuntimeEvent.HANDLER_FAILED, e, new Object[0]);
        }
    }
}
