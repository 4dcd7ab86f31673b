package org.pollensill.scheduler;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.LongFunction;

import org.pollensill.batch.BatchSettings;
import org.pollensill.batch.ClientAnswer;
import org.pollensill.batch.ClientCall;
import org.pollensill.batch.Effect;
import org.pollensill.batch.Ownership;
import org.pollensill.batch.ShardOwner;
import org.pollensill.batch.ShardPath;
import org.pollensill.batch.WorkerCall;
import org.pollensill.platform.CommitOutcome;
import org.pollensill.platform.Host;
import org.pollensill.platform.ObjectStore;
import org.pollensill.platform.PlatformException;
import org.pollensill.platform.TableService;
import org.pollensill.runtime.event.EventLog;
import org.pollensill.runtime.http.SendGuard;

/** Feeds one shard's owner with inputs and carries out its effects. Effects are carried out without the shard's lock. */
final class ShardDriver {

    private static final EventLog LOG = EventLog.of(ShardDriver.class);
    private static final long REPORT_INTERVAL_NS = 1_000_000_000L;
    private static final long NANOS_PER_MS = 1_000_000;

    private final int shard;
    private final ShardOwner owner;
    private final ShardOwnership ownership;
    private final TableService tables;
    private final ObjectStore objects;
    private final WorkerClient workers;
    private final ShardReader reader;
    private final ReentrantLock lock = new ReentrantLock();
    private final Map<Long, CompletableFuture<ClientAnswer>> clients = new ConcurrentHashMap<>();
    private final AtomicLong nextCallId = new AtomicLong();
    private final Map<String, Long> reportedNs = new ConcurrentHashMap<>();
    private final Set<String> reporting = ConcurrentHashMap.newKeySet();
    private volatile long startWindowNs = BatchSettings.DEFAULTS.startWindowMs() * NANOS_PER_MS;
    private volatile boolean draining;
    private volatile boolean dropped;
    private Ownership lastOwnership = Ownership.NONE;

    ShardDriver(
            ShardPath path,
            ShardOwner owner,
            ShardOwnership ownership,
            TableService tables,
            ObjectStore objects,
            WorkerClient workers) {
        this.shard = path.shard();
        this.owner = Objects.requireNonNull(owner, "owner is null");
        this.ownership = Objects.requireNonNull(ownership, "ownership is null");
        this.tables = Objects.requireNonNull(tables, "tables is null");
        this.objects = Objects.requireNonNull(objects, "objects is null");
        this.workers = Objects.requireNonNull(workers, "workers is null");
        this.reader = new ShardReader(path, tables, objects);
    }

    /** Lets time pass, follows the ownership and asks workers for their reports. */
    void tick() {
        input(nowNs -> {
            Ownership current = current(nowNs);
            if (current.equals(lastOwnership)) {
                return owner.tick(nowNs);
            }
            LOG.log(
                    SchedulerEvent.OWNERSHIP_CHANGED,
                    "shard",
                    shard,
                    "state",
                    current.state(),
                    "epoch",
                    current.epoch());
            lastOwnership = current;
            return owner.updateOwnership(nowNs, current);
        });
        askForReports();
    }

    /** A draining process starts nothing more and keeps renewing until it gives the shard up. */
    private Ownership current(long nowNs) {
        Ownership current = dropped ? Ownership.NONE : ownership.current(shard, nowNs);
        if (draining && current.state() == Ownership.State.CONFIRMED) {
            return new Ownership(Ownership.State.UNCONFIRMED, current.epoch(), current.formerOwnerResolved());
        }
        return current;
    }

    private void askForReports() {
        Map<String, String> wanted;
        lock.lock();
        try {
            wanted = owner.workers();
        } finally {
            lock.unlock();
        }
        long nowNs = System.nanoTime();
        reportedNs.keySet().retainAll(wanted.keySet());
        wanted.forEach((worker, address) -> {
            Long last = reportedNs.get(worker);
            boolean due = last == null || nowNs - last >= REPORT_INTERVAL_NS;
            if (!due || !reporting.add(worker)) {
                return;
            }
            reportedNs.put(worker, nowNs);
            workers.report(address).whenComplete((report, failure) -> {
                // Another report is asked for only after this one was taken in, so that none overtakes another.
                if (failure == null
                        && report.isPresent()
                        && report.get().worker().equals(worker)) {
                    input(now -> owner.report(now, report.get()));
                }
                reporting.remove(worker);
            });
        });
    }

    void hosts(List<Host> workersOfShard) {
        locked(() -> owner.updateHosts(workersOfShard));
    }

    void settings(BatchSettings settings) {
        startWindowNs = settings.startWindowMs() * NANOS_PER_MS;
        locked(() -> owner.updateSettings(settings));
    }

    CompletableFuture<ClientAnswer> client(ClientCall call) {
        long callId = nextCallId.incrementAndGet();
        CompletableFuture<ClientAnswer> answer = new CompletableFuture<>();
        clients.put(callId, answer);
        input(nowNs -> owner.client(nowNs, callId, call));
        return answer;
    }

    boolean isActive() {
        lock.lock();
        try {
            return owner.isActive();
        } finally {
            lock.unlock();
        }
    }

    /** Stops placing tasks; what is placed keeps running. */
    void drain() {
        draining = true;
        tick();
    }

    boolean isSettled() {
        lock.lock();
        try {
            return owner.isSettled();
        } finally {
            lock.unlock();
        }
    }

    /** Stops every act for the shard. */
    void drop() {
        dropped = true;
        input(nowNs -> owner.updateOwnership(nowNs, Ownership.NONE));
    }

    private void locked(Runnable change) {
        lock.lock();
        try {
            change.run();
        } finally {
            lock.unlock();
        }
    }

    private void input(LongFunction<List<Effect>> input) {
        List<Effect> effects;
        lock.lock();
        try {
            effects = input.apply(System.nanoTime());
        } finally {
            lock.unlock();
        }
        effects.forEach(this::carryOut);
    }

    private void carryOut(Effect effect) {
        if (effect instanceof Effect.Write write) {
            commit(write);
        } else if (effect instanceof Effect.ReadHead) {
            readHead();
        } else if (effect instanceof Effect.ReadShard) {
            readShard();
        } else if (effect instanceof Effect.PutObject put) {
            objects.put(put.name(), put.content())
                    .whenComplete((done, failure) -> locked(() -> owner.objectWritten(put.name(), failure == null)));
        } else if (effect instanceof Effect.DeleteObject delete) {
            objects.delete(delete.name());
        } else if (effect instanceof Effect.CallWorker call) {
            callWorker(call);
        } else if (effect instanceof Effect.Answer answer) {
            CompletableFuture<ClientAnswer> waiting = clients.remove(answer.callId());
            if (waiting != null) {
                waiting.complete(answer.answer());
            }
        } else if (effect instanceof Effect.Event event) {
            LOG.log(SchedulerEvent.of(event.number()), "shard", shard, "detail", event.message());
        }
    }

    private void commit(Effect.Write write) {
        String id = write.commit().commitId();
        tables.commit(write.commit())
                .whenComplete((outcome, failure) -> input(nowNs -> {
                    if (failure != null) {
                        return owner.commitFailed(nowNs, id, PlatformException.effectOf(failure));
                    }
                    return outcome instanceof CommitOutcome.Committed done
                            ? owner.committed(nowNs, id, done.versions())
                            : owner.conflicted(nowNs, id);
                }));
    }

    private void readHead() {
        reader.head()
                .whenComplete((head, failure) -> input(nowNs -> {
                    if (failure == null) {
                        return owner.headRead(nowNs, head);
                    }
                    owner.headReadFailed(nowNs);
                    return List.of();
                }));
    }

    private void readShard() {
        reader.image()
                .whenComplete((image, failure) -> input(nowNs -> {
                    if (failure == null) {
                        return owner.shardRead(nowNs, image);
                    }
                    LOG.log(SchedulerEvent.SHARD_READ_FAILED, failure, new Object[] {"shard", shard});
                    return owner.shardReadFailed(nowNs);
                }));
    }

    private void callWorker(Effect.CallWorker call) {
        boolean isStart = call.call() instanceof WorkerCall.Start;
        long emittedNs = System.nanoTime();
        // Asked right before the write: a start needs a confirmed owner and its window, every call an owner.
        SendGuard guard = () -> {
            long nowNs = System.nanoTime();
            Ownership.State state = current(nowNs).state();
            boolean inTime = nowNs - emittedNs < startWindowNs;
            return isStart ? inTime && state == Ownership.State.CONFIRMED : state != Ownership.State.NONE;
        };
        workers.call(call.address(), call.call(), guard)
                .thenAccept(result -> input(nowNs -> owner.workerAnswered(nowNs, call.call(), result)));
    }
}
