package org.pollensill.coordinator;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

import org.pollensill.dispatch.Dispatcher;
import org.pollensill.leader.CommitChain;
import org.pollensill.platform.PlatformException;
import org.pollensill.platform.Row;
import org.pollensill.platform.RowStore;
import org.pollensill.platform.Write;
import org.pollensill.runtime.event.EventLog;

/** Carries the leader's commits to the store until their outcome is known, and watches how fresh the lease is. */
final class Committer {

    private static final EventLog LOG = EventLog.of(Committer.class);

    private static final long RETRY_MS = 100;

    /** A commit whose answer was handled later than this is confirmed by a read before anything follows from it. */
    private static final long STALE_ANSWER_MS = 3_000;

    /** The time of day running ahead of the monotonic time by this much shows a suspension. */
    private static final long SUSPENSION_MS = 300;

    private final Loop loop;
    private final RowStore store;
    private final StoreHealth health;
    private final CommitChain chain;
    private final CoordinatorMetrics metrics;
    private final Runnable onDeposed;
    private final Runnable whenIdle;
    private Consumer<Boolean> follower = committed -> {};
    private Optional<Runnable> onReleased = Optional.empty();
    private Runnable beforeRelease = () -> {};
    private long beganMs;
    private long confirmedMs;
    private long clockOffsetMs;
    private boolean confirmationWanted;
    private boolean stopped;

    Committer(CoordinatorContext context, CommitChain chain, Runnable onDeposed, Runnable whenIdle) {
        this.loop = context.loop();
        this.store = context.store();
        this.health = context.health();
        this.chain = chain;
        this.metrics = context.metrics();
        this.onDeposed = onDeposed;
        this.whenIdle = whenIdle;
        this.beganMs = loop.nowMs();
        this.confirmedMs = loop.nowMs();
        this.clockOffsetMs = loop.wallMs() - loop.nowMs();
    }

    boolean busy() {
        return chain.busy();
    }

    long lastBeganMs() {
        return beganMs;
    }

    boolean confirmationWanted() {
        return confirmationWanted;
    }

    void confirmSoon() {
        confirmationWanted = true;
    }

    void stop() {
        stopped = true;
    }

    /** Returns whether the lease was confirmed recently enough to extend the leases of runners. */
    boolean mayExtendLeases() {
        long offsetMs = loop.wallMs() - loop.nowMs();
        if (offsetMs - clockOffsetMs > SUSPENSION_MS) {
            // The monotonic clock does not count a suspension, so the age of the confirmation is not known.
            LOG.log(CoordinatorEvent.SUSPENDED, "aheadMs", offsetMs - clockOffsetMs);
            confirmedMs = Long.MIN_VALUE / 2;
            confirmationWanted = true;
        }
        clockOffsetMs = offsetMs;
        return loop.nowMs() - confirmedMs < Dispatcher.unconfirmedHoldMs();
    }

    /**
     * Begins a commit; no other one may be in flight.
     *
     * @param waitingJobs accepted jobs by queue for which no task has started
     * @param writes what is written
     * @param outcome is told whether the commit took effect; not called when the lease is lost
     */
    void commit(Map<String, Integer> waitingJobs, List<Write> writes, Consumer<Boolean> outcome) {
        confirmationWanted = false;
        follower = outcome;
        beganMs = loop.nowMs();
        chain.begin(waitingJobs, false, writes);
        send();
    }

    /**
     * Gives up the lease once the commit in flight is settled.
     *
     * @param waitingJobs accepted jobs by queue for which no task has started
     * @param beforeSending runs right before the lease is given up
     * @param released runs when the store knows, or when the lease is lost
     */
    void release(Map<String, Integer> waitingJobs, Runnable beforeSending, Runnable released) {
        beforeRelease = beforeSending;
        onReleased = Optional.of(() -> {
            LOG.log(CoordinatorEvent.RELEASED, "fence", chain.row().fence());
            released.run();
        });
        if (!chain.busy()) {
            sendRelease(waitingJobs);
        }
    }

    private void sendRelease(Map<String, Integer> waitingJobs) {
        beforeRelease.run();
        follower = committed -> {};
        beganMs = loop.nowMs();
        chain.begin(waitingJobs, true, List.of());
        send();
    }

    private void send() {
        if (stopped) {
            return;
        }
        long sentMs = loop.nowMs();
        health.watch(store.commit(chain.current())).whenComplete((outcome, failure) -> {
            if (stopped) {
                return;
            }
            if (failure == null && loop.nowMs() - sentMs > STALE_ANSWER_MS) {
                readRow();
                return;
            }
            next(failure == null ? chain.onOutcome(outcome) : failed(failure), sentMs);
        });
    }

    private CommitChain.Next failed(Throwable failure) {
        LOG.log(CoordinatorEvent.COMMIT_UNCERTAIN, "problem", failure.getMessage());
        return chain.onFailure(PlatformException.effectOf(failure));
    }

    private void readRow() {
        if (stopped) {
            return;
        }
        long sentMs = loop.nowMs();
        CompletableFuture<List<Row>> read = store.read(List.of(Tables.LEADER_KEY), List.of());
        health.watch(read).whenComplete((rows, failure) -> {
            if (stopped) {
                return;
            }
            if (failure != null) {
                loop.after(RETRY_MS, this::readRow);
                return;
            }
            next(chain.onRow(rows.stream().findFirst()), sentMs);
        });
    }

    private void next(CommitChain.Next next, long sentMs) {
        switch (next) {
            case COMMITTED:
                metrics.commit("committed", loop.nowMs() - beganMs);
                confirmedMs = sentMs;
                settled(true);
                return;
            case WITHDRAWN:
                metrics.commit("withdrawn", loop.nowMs() - beganMs);
                // The store has just refused a call; the next one comes after a pause.
                beganMs = loop.nowMs() + RETRY_MS;
                settled(false);
                return;
            case REPEAT:
                loop.after(RETRY_MS, this::send);
                return;
            case READ_ROW:
                readRow();
                return;
            default:
                metrics.commit("deposed", loop.nowMs() - beganMs);
                stopped = true;
                if (onReleased.isPresent()) {
                    onReleased.get().run();
                    return;
                }
                onDeposed.run();
        }
    }

    private void settled(boolean committed) {
        Consumer<Boolean> told = follower;
        follower = ignored -> {};
        told.accept(committed);
        if (onReleased.isEmpty()) {
            whenIdle.run();
            return;
        }
        if (chain.row().released()) {
            onReleased.get().run();
            return;
        }
        loop.after(committed ? 0 : RETRY_MS, () -> {
            if (!stopped) {
                sendRelease(chain.row().waitingJobs());
            }
        });
    }
}
