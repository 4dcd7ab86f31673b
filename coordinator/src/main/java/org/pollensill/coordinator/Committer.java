package org.pollensill.coordinator;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.pollensill.admission.LoadForecast;
import org.pollensill.admission.MemoryCredit;
import org.pollensill.dispatch.Dispatcher;
import org.pollensill.leader.CommitChain;
import org.pollensill.leader.LeaseBounds;
import org.pollensill.leader.LeaseLimit;
import org.pollensill.platform.PlatformException;
import org.pollensill.platform.Row;
import org.pollensill.platform.RowStore;
import org.pollensill.platform.Write;
import org.pollensill.runtime.event.EventLog;

/** Sends the leader's commits to the store until their outcome is known, and tracks when the lease was confirmed. */
final class Committer {

    private static final EventLog LOG = EventLog.of(Committer.class);

    private static final long RETRY_DELAY_MS = 100;

    /** The result of a commit. */
    enum Result {
        /** The commit took effect. */
        COMMITTED,
        /** The store refused the commit for now. */
        WITHDRAWN,
        /** The store rejects the content of the commit. */
        REJECTED
    }

    /** An answer handled later than this after its request is not trusted; the leader row is read instead. */
    private static final long MAX_ANSWER_DELAY_MS = Dispatcher.unconfirmedStartLimitMs();

    /** Advance of the wall clock over the monotonic clock that indicates a suspension of the process. */
    private static final long MIN_SUSPENSION_MS = 300;

    private final CoordinatorLoop loop;
    private final RowStore store;
    private final StoreHealth health;
    private final CommitChain chain;
    private final CoordinatorMetrics metrics;
    private final Runnable onDeposed;
    private final Runnable onIdle;
    private final Consumer<LeaseBounds> onLeaseBoundsStored;
    private final LeaseLimit leaseLimit = LeaseLimit.of(Dispatcher.unconfirmedRenewalLimitMs());
    private Consumer<Result> outcomeListener = committed -> {};
    private Optional<Runnable> onReleased = Optional.empty();
    private Runnable beforeRelease = () -> {};
    private long commitStartMs;
    private long leaseConfirmedMs;
    private long lastCommittedMs;
    private Optional<LeaseBounds> boundsInFlight = Optional.empty();
    private Supplier<LeaseBounds> finalBounds = () -> LeaseBounds.NONE;
    private long clockOffsetMs;
    private boolean confirmationRequested;
    private boolean stopped;

    Committer(
            CoordinatorContext context,
            CommitChain chain,
            Runnable onDeposed,
            Runnable onIdle,
            Consumer<LeaseBounds> onLeaseBoundsStored) {
        this.loop = context.loop();
        this.store = context.store();
        this.health = context.health();
        this.chain = chain;
        this.metrics = context.metrics();
        this.onDeposed = onDeposed;
        this.onIdle = onIdle;
        this.onLeaseBoundsStored = onLeaseBoundsStored;
        this.commitStartMs = loop.nowMs();
        this.leaseConfirmedMs = loop.nowMs();
        this.lastCommittedMs = loop.nowMs();
        this.clockOffsetMs = loop.wallClockMs() - loop.nowMs();
    }

    boolean busy() {
        return chain.busy();
    }

    long lastCommitStartMs() {
        return commitStartMs;
    }

    boolean confirmationRequested() {
        return confirmationRequested;
    }

    void requestConfirmation() {
        confirmationRequested = true;
    }

    /** Lets the following commits say that the state is loaded. */
    void setLoaded() {
        chain.setLoading(false);
    }

    /** Sets the forecast that the following commits store. */
    void setForecast(Optional<LoadForecast> forecast) {
        chain.setForecast(forecast);
    }

    /** Sets the memory for further jobs that the following commits store. */
    void setCredit(MemoryCredit credit) {
        chain.setCredit(credit);
    }

    void stop() {
        stopped = true;
    }

    /**
     * Returns the longest lease that runners may be granted: none lasts longer than the limit after the last commit that
     * is known to be stored, and none is granted before the bounds of leases of this leader are stored.
     */
    long maxLeaseMs() {
        detectSuspension();
        return leaseLimit.maxLeaseMs(loop.nowMs());
    }

    /** Returns whether the leader lease was confirmed recently enough to start runs, and requests its confirmation. */
    boolean mayStartRuns() {
        detectSuspension();
        boolean confirmed = loop.nowMs() - leaseConfirmedMs < Dispatcher.unconfirmedStartLimitMs();
        confirmationRequested |= !confirmed;
        return confirmed;
    }

    /** Discards the last confirmation after a suspension: the monotonic clock stops meanwhile, so its age is unknown. */
    private boolean detectSuspension() {
        long offsetMs = loop.wallClockMs() - loop.nowMs();
        boolean suspended = offsetMs - clockOffsetMs > MIN_SUSPENSION_MS;
        if (suspended) {
            LOG.log(CoordinatorEvent.PROCESS_SUSPENDED, "aheadMs", offsetMs - clockOffsetMs);
            leaseConfirmedMs = Long.MIN_VALUE / 2;
            leaseLimit.onSuspended();
            confirmationRequested = true;
        }
        clockOffsetMs = offsetMs;
        return suspended;
    }

    /**
     * Starts a commit; no other one may be in flight.
     *
     * @param waitingJobs the number of accepted jobs without a started task, by queue
     * @param leases the bounds of leases that it stores
     * @param writes the writes of the commit
     * @param outcome receives the result of the commit; not called when the lease is lost
     */
    void commit(Map<String, Integer> waitingJobs, LeaseBounds leases, List<Write> writes, Consumer<Result> outcome) {
        confirmationRequested = false;
        outcomeListener = outcome;
        begin(waitingJobs, leases, false, writes);
    }

    /**
     * Releases the leader lease once the outcome of the commit in flight is known.
     *
     * @param waitingJobs the number of accepted jobs without a started task, by queue
     * @param leasesAtRelease supplies the bounds of leases that the release stores
     * @param beforeSending runs right before the release is sent
     * @param released runs when the release is stored, or when the lease is lost
     */
    void release(
            Map<String, Integer> waitingJobs,
            Supplier<LeaseBounds> leasesAtRelease,
            Runnable beforeSending,
            Runnable released) {
        finalBounds = leasesAtRelease;
        beforeRelease = beforeSending;
        onReleased = Optional.of(() -> {
            LOG.log(CoordinatorEvent.LEASE_RELEASED, "fence", chain.row().fencingToken());
            released.run();
        });
        if (!chain.busy()) {
            sendRelease(waitingJobs);
        }
    }

    private void sendRelease(Map<String, Integer> waitingJobs) {
        beforeRelease.run();
        outcomeListener = committed -> {};
        begin(waitingJobs, finalBounds.get(), true, List.of());
    }

    private void begin(Map<String, Integer> waitingJobs, LeaseBounds leases, boolean released, List<Write> writes) {
        commitStartMs = loop.nowMs();
        boundsInFlight = Optional.of(leases);
        leaseLimit.onCommitBegun(leases, commitStartMs);
        chain.begin(waitingJobs, leases, released, writes);
        send();
    }

    private void send() {
        if (stopped) {
            return;
        }
        long sentMs = loop.nowMs();
        health.track(store.commit(chain.current())).whenComplete((outcome, failure) -> {
            if (stopped) {
                return;
            }
            boolean suspended = detectSuspension();
            if (failure == null && (suspended || loop.nowMs() - sentMs > MAX_ANSWER_DELAY_MS)) {
                readLeaderRow();
                return;
            }
            onNext(failure == null ? chain.onOutcome(outcome) : onSendFailure(failure), sentMs);
        });
    }

    private CommitChain.Next onSendFailure(Throwable failure) {
        LOG.log(CoordinatorEvent.COMMIT_UNCERTAIN, "problem", failure.getMessage());
        return chain.onFailure(PlatformException.effectOf(failure));
    }

    private void readLeaderRow() {
        if (stopped) {
            return;
        }
        long sentMs = loop.nowMs();
        CompletableFuture<List<Row>> read = store.read(List.of(Tables.LEADER_KEY), List.of());
        health.track(read).whenComplete((rows, failure) -> {
            if (stopped) {
                return;
            }
            if (failure != null) {
                loop.schedule(RETRY_DELAY_MS, this::readLeaderRow);
                return;
            }
            onNext(chain.onRow(rows.stream().findFirst()), sentMs);
        });
    }

    private void onNext(CommitChain.Next next, long sentMs) {
        switch (next) {
            case COMMITTED:
                metrics.commit("committed", loop.nowMs() - commitStartMs);
                leaseConfirmedMs = sentMs;
                onBoundsStored();
                metrics.commitOverdue(0);
                lastCommittedMs = loop.nowMs();
                onSettled(Result.COMMITTED);
                return;
            case WITHDRAWN:
                onNotCommitted("withdrawn");
                onSettled(Result.WITHDRAWN);
                return;
            case REJECTED:
                onNotCommitted("rejected");
                onSettled(Result.REJECTED);
                return;
            case REPEAT:
                loop.schedule(RETRY_DELAY_MS, this::send);
                return;
            case READ_ROW:
                readLeaderRow();
                return;
            default:
                metrics.commit("deposed", loop.nowMs() - commitStartMs);
                stopped = true;
                if (onReleased.isPresent()) {
                    onReleased.get().run();
                    return;
                }
                onDeposed.run();
        }
    }

    private void onBoundsStored() {
        LeaseBounds stored = boundsInFlight.orElseThrow();
        boundsInFlight = Optional.empty();
        leaseLimit.onCommitStored();
        onLeaseBoundsStored.accept(stored);
    }

    private void onNotCommitted(String outcome) {
        metrics.commit(outcome, loop.nowMs() - commitStartMs);
        metrics.commitOverdue(loop.nowMs() - lastCommittedMs);
        // The store has just rejected a call, so the next commit is delayed.
        commitStartMs = loop.nowMs() + RETRY_DELAY_MS;
    }

    private void onSettled(Result result) {
        Consumer<Result> listener = outcomeListener;
        outcomeListener = ignored -> {};
        listener.accept(result);
        if (onReleased.isEmpty()) {
            onIdle.run();
            return;
        }
        if (chain.row().released()) {
            onReleased.get().run();
            return;
        }
        loop.schedule(result == Result.COMMITTED ? 0 : RETRY_DELAY_MS, () -> {
            if (!stopped) {
                sendRelease(chain.row().waitingJobs());
            }
        });
    }
}
