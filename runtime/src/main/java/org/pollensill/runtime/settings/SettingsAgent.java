package org.pollensill.runtime.settings;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import io.netty.channel.EventLoopGroup;
import io.netty.util.concurrent.ScheduledFuture;
import org.pollensill.platform.ObjectStore;
import org.pollensill.platform.TableService;
import org.pollensill.runtime.event.EventLog;
import org.pollensill.runtime.event.RuntimeEvent;
import org.pollensill.runtime.peer.PeerHub;
import org.pollensill.runtime.peer.PeerIdentity;
import org.pollensill.settings.Effective;
import org.pollensill.settings.InvalidSettingsException;
import org.pollensill.settings.Place;
import org.pollensill.settings.SettingsChange;
import org.pollensill.settings.SettingsCommitter;
import org.pollensill.settings.SettingsDelta;
import org.pollensill.settings.SettingsReplica;
import org.pollensill.settings.SettingsSnapshot;
import org.pollensill.settings.SettingsStore;
import org.pollensill.settings.SettingsUpdate;

/** Replicates the settings from the store and from peers, and returns the values in force for this process. */
public final class SettingsAgent {

    static final EventLog LOG = EventLog.of(SettingsAgent.class);

    /** Read interval of the zone's reader, the maximum time until it sees a change. */
    private static final long READ_INTERVAL_MS = 500;

    /**
     * Read intervals from one read to the next in processes other than the zone's reader, so that a change is in force
     * within 4 s even if that reader is frozen; 300 processes make 100 reads/s.
     */
    private static final int FALLBACK_READ_INTERVALS = 6;

    private static final long PEER_EXCHANGE_INTERVAL_MS = 1_000;

    /** Mean delay before a commit of unknown outcome is read back. */
    private static final int READ_BACK_DELAY_MS = 200;

    /** Bound of the random addition to the snapshot interval; keeps all readers from writing the same snapshot. */
    private static final int MAX_SNAPSHOT_JITTER_REVISIONS = 128;

    /** Time that a starting process waits for the peers' highest revision if the store does not answer. */
    private static final long START_TIMEOUT_MS = 1_000;

    private final EventLoopGroup loops;
    private final SettingsStore store;
    private final SettingsReplica replica = SettingsReplica.empty();
    private final SettingsCommitter committer;
    private final SettingsPeers peers;
    private final Place place;
    private final BooleanSupplier isZoneReader;
    private final LongSupplier nowMs;
    private final Random random = new Random();
    private final int snapshotJitterRevisions = random.nextInt(MAX_SNAPSHOT_JITTER_REVISIONS);
    private final List<Consumer<SettingsSnapshot>> listeners = new CopyOnWriteArrayList<>();
    private final AtomicBoolean readInProgress = new AtomicBoolean();
    private final AtomicBoolean snapshotWriteInProgress = new AtomicBoolean();
    private final List<ScheduledFuture<?>> timers = new CopyOnWriteArrayList<>();
    private volatile boolean storeReachable = true;
    private volatile boolean hasReadStore;
    private volatile boolean storeBehind;
    private volatile long startedAtMs;
    private volatile CachedValues cachedValues;
    private int intervalsSinceRead;

    private record CachedValues(long revision, long computedAtMs, Effective effective) {}

    /**
     * Creates the agent, which is idle until {@link #start} is called.
     *
     * @param loops the event loops
     * @param hub the peer connections
     * @param self the identity of this process
     * @param tables the table service
     * @param objects the object store
     * @param isZoneReader whether this process reads the store for its zone
     * @param nowMs the wall clock
     */
    public SettingsAgent(
            EventLoopGroup loops,
            PeerHub hub,
            PeerIdentity self,
            TableService tables,
            ObjectStore objects,
            BooleanSupplier isZoneReader,
            LongSupplier nowMs) {
        this.loops = Objects.requireNonNull(loops, "loops is null");
        this.isZoneReader = Objects.requireNonNull(isZoneReader, "isZoneReader is null");
        this.nowMs = Objects.requireNonNull(nowMs, "nowMs is null");
        this.store = new SettingsStore(tables, objects);
        this.committer = new SettingsCommitter(store, replica, this::delayReadBack);
        this.place = new Place(self.region(), self.zone());
        this.peers = new SettingsPeers(hub, self, replica, nowMs, random, update -> applyUpdate(update, "peer"));
        hub.add(peers);
    }

    /** Starts the reads of the store and the exchange of deltas with peers. */
    public void start() {
        startedAtMs = nowMs.getAsLong();
        intervalsSinceRead = random.nextInt(FALLBACK_READ_INTERVALS);
        read();
        timers.add(loops.next()
                .scheduleAtFixedRate(guarded(this::poll), READ_INTERVAL_MS, READ_INTERVAL_MS, TimeUnit.MILLISECONDS));
        timers.add(loops.next()
                .scheduleAtFixedRate(
                        guarded(peers::tick),
                        PEER_EXCHANGE_INTERVAL_MS,
                        PEER_EXCHANGE_INTERVAL_MS,
                        TimeUnit.MILLISECONDS));
    }

    /** Stops the reads and the exchange with peers; the last values remain available. */
    public void stop() {
        timers.forEach(timer -> timer.cancel(false));
    }

    /** Catches exceptions of a periodic task, which would otherwise cancel it. */
    private static Runnable guarded(Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (RuntimeException e) {
                LOG.log(RuntimeEvent.HANDLER_FAILED, e, new Object[0]);
            }
        };
    }

    private void poll() {
        if (isZoneReader.getAsBoolean()
                || replica.state().isEmpty()
                || ++intervalsSinceRead >= FALLBACK_READ_INTERVALS) {
            intervalsSinceRead = 0;
            read();
        }
    }

    private void read() {
        if (!readInProgress.compareAndSet(false, true)) {
            return;
        }
        store.read(replica.revision()).whenComplete((result, failure) -> {
            readInProgress.set(false);
            if (failure != null) {
                if (storeReachable) {
                    LOG.log(SettingsEvent.STORE_UNREACHABLE, failure, new Object[] {"revision", replica.revision()});
                }
                storeReachable = false;
                return;
            }
            if (!storeReachable) {
                LOG.log(SettingsEvent.STORE_REACHABLE_AGAIN, "revision", replica.revision());
            }
            storeReachable = true;
            hasReadStore = true;
            warnWhenStoreBehind(result.update().revision());
            applyUpdate(result.update(), "store");
            writeSnapshot(result);
            if (replica.revision() < result.update().revision()
                    && !result.update().deltas().isEmpty()) {
                read();
            }
        });
    }

    private void warnWhenStoreBehind(long storeRevision) {
        boolean behind = storeRevision < replica.revision();
        if (behind && !storeBehind) {
            LOG.log(SettingsEvent.STORE_BEHIND, "revision", replica.revision(), "storeRevision", storeRevision);
        }
        storeBehind = behind;
    }

    private void applyUpdate(SettingsUpdate update, String source) {
        try {
            long previousRevision = replica.revision();
            SettingsReplica.UpdateResult updateResult = replica.apply(update);
            if (replica.revision() > previousRevision) {
                LOG.log(SettingsEvent.APPLIED, "revision", replica.revision(), "from", source);
                if (isZoneReader.getAsBoolean()) {
                    peers.push(updateResult.applied());
                }
                notifyListeners();
            }
        } catch (InvalidSettingsException e) {
            LOG.log(SettingsEvent.UNREADABLE, e, new Object[] {"from", source});
        }
    }

    private void notifyListeners() {
        replica.state().ifPresent(state -> listeners.forEach(listener -> listener.accept(state)));
    }

    private void writeSnapshot(SettingsStore.ReadResult result) {
        Optional<SettingsSnapshot> state = replica.state();
        boolean due = isZoneReader.getAsBoolean()
                && state.isPresent()
                && state.get().revision() - result.snapshotRevision()
                        >= SettingsStore.SNAPSHOT_INTERVAL_REVISIONS + snapshotJitterRevisions;
        if (!due || !snapshotWriteInProgress.compareAndSet(false, true)) {
            return;
        }
        store.writeSnapshot(state.get(), result).whenComplete((written, failure) -> {
            snapshotWriteInProgress.set(false);
            if (failure == null && written) {
                LOG.log(SettingsEvent.SNAPSHOT_WRITTEN, "revision", state.get().revision());
            }
        });
    }

    private CompletableFuture<Void> delayReadBack() {
        CompletableFuture<Void> elapsed = new CompletableFuture<>();
        loops.next()
                .schedule(
                        () -> elapsed.complete(null),
                        READ_BACK_DELAY_MS / 2 + random.nextInt(READ_BACK_DELAY_MS),
                        TimeUnit.MILLISECONDS);
        return elapsed;
    }

    /**
     * Commits a change and sends it to the processes of the zone without delay.
     *
     * @param change the change
     * @return the delta, or the failure of {@link SettingsCommitter#submit}
     */
    public CompletableFuture<SettingsDelta> submit(SettingsChange change) {
        return committer.submit(change, nowMs.getAsLong()).whenComplete((delta, failure) -> {
            if (failure != null) {
                LOG.log(SettingsEvent.REFUSED, failure, new Object[] {
                    "author", change.author(), "changeId", change.changeId()
                });
                return;
            }
            LOG.log(
                    SettingsEvent.CHANGED,
                    "revision",
                    delta.revision(),
                    "author",
                    change.author(),
                    "reason",
                    change.reason());
            peers.push(List.of(delta));
            notifyListeners();
        });
    }

    /**
     * Returns the deltas after a revision, from memory or from the store.
     *
     * @param afterRevision the revision before the first delta
     * @return the retained deltas, in ascending order of revision
     */
    public CompletableFuture<List<SettingsDelta>> deltasAfter(long afterRevision) {
        Optional<List<SettingsDelta>> retained = replica.deltasAfter(afterRevision);
        return retained.isPresent()
                ? CompletableFuture.completedFuture(retained.get())
                : store.deltas(afterRevision, 5 * 1_024);
    }

    /**
     * Returns the settings of this process.
     *
     * @return the tree and its revision, empty while neither the store nor a peer has answered
     */
    public Optional<SettingsSnapshot> state() {
        return replica.state();
    }

    /**
     * Returns the revision to send in heartbeats.
     *
     * @return the revision, 0 if there is none yet
     */
    public long revision() {
        return Math.max(0, replica.revision());
    }

    /**
     * Returns the values in force at this process's place now. Cheap enough to call for every request: the values
     * are cached and computed again only for a new revision or when a shift begins or ends.
     *
     * @return the values, empty while neither the store nor a peer has answered
     */
    public Optional<Effective> effective() {
        Optional<SettingsSnapshot> state = replica.state();
        if (state.isEmpty()) {
            return Optional.empty();
        }
        long now = nowMs.getAsLong();
        CachedValues cached = cachedValues;
        if (cached != null
                && cached.revision() == state.get().revision()
                && now >= cached.computedAtMs()
                && now < cached.effective().validUntilMs()) {
            return Optional.of(cached.effective());
        }
        Effective computed = state.get().tree().effective(place, now);
        if (cached != null && !cached.effective().activeShifts().equals(computed.activeShifts())) {
            LOG.log(SettingsEvent.SHIFT_CHANGED, "active", String.join(",", computed.activeShifts()));
        }
        cachedValues = new CachedValues(state.get().revision(), now, computed);
        return Optional.of(computed);
    }

    /**
     * Returns why the process cannot serve yet.
     *
     * @return the reason, empty once the settings are loaded
     */
    public Optional<String> notReadyReason() {
        if (replica.state().isEmpty()) {
            return Optional.of("no settings: neither the store nor a peer has answered");
        }
        boolean timedOut = nowMs.getAsLong() - startedAtMs >= START_TIMEOUT_MS;
        return hasReadStore || timedOut ? Optional.empty() : Optional.of("waiting for the peers' settings");
    }

    /**
     * Adds a listener for new revisions. If settings are loaded already, it is called at once on the calling thread;
     * later calls come from an event loop. It must not block.
     *
     * @param listener receives the tree and its revision
     */
    public void onChange(Consumer<SettingsSnapshot> listener) {
        listeners.add(Objects.requireNonNull(listener, "listener is null"));
        replica.state().ifPresent(listener);
    }

    /**
     * Returns the revisions that the peers last reported.
     *
     * @return the peers' revisions
     */
    public List<PeerRevision> peerRevisions() {
        return peers.revisions();
    }

    /**
     * Returns whether the store answered the last read.
     *
     * @return true if changes can be committed
     */
    public boolean isStoreReachable() {
        return storeReachable;
    }
}
