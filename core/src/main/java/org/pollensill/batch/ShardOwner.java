package org.pollensill.batch;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.random.RandomGenerator;

import org.pollensill.platform.Host;
import org.pollensill.platform.PlatformException;
import org.pollensill.platform.Row;
import org.pollensill.worker.Interference;

/**
 * State machine of a shard's owner. The daemon passes inputs one at a time, in any order, and executes the effects that
 * each input returns. Before it sends a start, the daemon checks again that the ownership is still confirmed.
 */
public final class ShardOwner {

    private static final long READ_RETRY_NS = 500_000_000L;

    private final ShardPath path;
    private final String ownerName;
    private final RandomGenerator random;
    private final LearnedEstimates estimates = LearnedEstimates.empty();
    private Ownership ownership = Ownership.NONE;
    private BatchSettings settings = BatchSettings.DEFAULTS;
    private List<Host> hosts = List.of();
    private boolean reading;
    private boolean hasRead;
    private long nextReadNs;
    private Optional<ActiveShard> active = Optional.empty();

    private ShardOwner(ShardPath path, String ownerName, RandomGenerator random) {
        this.path = Objects.requireNonNull(path, "path is null");
        this.ownerName = Objects.requireNonNull(ownerName, "ownerName is null");
        this.random = Objects.requireNonNull(random, "random is null");
    }

    /**
     * Returns an owner that does not own its shard yet.
     *
     * @param path the shard
     * @param ownerName the process's name in head rows, without spaces
     * @param random source of commit ids, placement samples and back-off jitter
     * @return the owner
     */
    public static ShardOwner of(ShardPath path, String ownerName, RandomGenerator random) {
        return new ShardOwner(path, ownerName, random);
    }

    /**
     * Updates the ownership of the shard.
     *
     * @param nowNs monotonic time
     * @param newOwnership the current ownership
     * @return the effects
     */
    public List<Effect> updateOwnership(long nowNs, Ownership newOwnership) {
        ownership = Objects.requireNonNull(newOwnership, "newOwnership is null");
        if (newOwnership.state() == Ownership.State.NONE) {
            return dropShard(nowNs, "the ownership ended");
        }
        active.ifPresent(shard -> shard.ownership(newOwnership, nowNs));
        return tick(nowNs);
    }

    /**
     * Updates the settings.
     *
     * @param newSettings the settings in force
     */
    public void updateSettings(BatchSettings newSettings) {
        settings = Objects.requireNonNull(newSettings, "newSettings is null");
        active.ifPresent(shard -> {
            shard.context.settings = newSettings;
            shard.context.pool.limitTo(newSettings.shareOfWorkerPercent());
        });
    }

    /**
     * Updates the workers of the shard.
     *
     * @param workers the shard's workers of the host list
     */
    public void updateHosts(List<Host> workers) {
        hosts = List.copyOf(Objects.requireNonNull(workers, "workers is null"));
        active.ifPresent(shard -> shard.context.pool.update(hosts));
    }

    /**
     * Updates the latency-critical load of a worker.
     *
     * @param worker the worker's name
     * @param latencyCriticalKind the latency-critical kind, empty for none
     * @param loadPercent the latency-critical load in percent of its slots
     * @param latencyPercent the latency in percent of its bound
     */
    public void updateLatencyCriticalLoad(
            String worker, String latencyCriticalKind, int loadPercent, int latencyPercent) {
        active.flatMap(shard -> shard.context.pool.worker(worker))
                .ifPresent(
                        target -> target.updateLatencyCriticalLoad(latencyCriticalKind, loadPercent, latencyPercent));
    }

    /**
     * Returns the interference model, to which the caller adds measurements.
     *
     * @return the model
     */
    public Interference interference() {
        return estimates.interference();
    }

    /**
     * Runs the work that is due, such as retries, lease renewals and placements.
     *
     * @param nowNs monotonic time
     * @return the effects
     */
    public List<Effect> tick(long nowNs) {
        if (active.isPresent()) {
            active.get().tick(nowNs);
            return active.get().drainEffects();
        }
        boolean due = !hasRead || nowNs - nextReadNs >= 0;
        if (reading || !due || ownership.state() != Ownership.State.CONFIRMED) {
            return List.of();
        }
        reading = true;
        hasRead = true;
        return List.of(new Effect.ReadShard());
    }

    /**
     * Handles the result of reading the shard.
     *
     * @param nowNs monotonic time
     * @param image the durable state of the shard
     * @return the effects
     */
    public List<Effect> shardRead(long nowNs, ShardImage image) {
        if (!reading || active.isPresent()) {
            return List.of();
        }
        boolean newer = image.head()
                .map(row -> ShardHead.parse(row.value()).epoch() > ownership.epoch())
                .orElse(false);
        boolean owned = ownership.state() != Ownership.State.NONE;
        Optional<Recovery> recovery = newer || !owned ? Optional.empty() : Recovery.of(path, image);
        if (recovery.isEmpty()) {
            return shardReadFailed(nowNs);
        }
        reading = false;
        ShardLog log = new ShardLog(
                path, ownerName, ownership.epoch(), image.head(), recovery.get().charsSinceSnapshot(), random);
        WorkerPool pool = WorkerPool.empty();
        pool.limitTo(settings.shareOfWorkerPercent());
        pool.update(hosts);
        ShardContext context = ActiveShard.context(path, random, recovery.get(), log, pool, estimates);
        context.settings = settings;
        context.ownership = ownership;
        ActiveShard shard = new ActiveShard(context);
        shard.ownership(ownership, nowNs);
        active = Optional.of(shard);
        return tick(nowNs);
    }

    /**
     * Handles a failed read of the shard.
     *
     * @param nowNs monotonic time
     * @return the effects
     */
    public List<Effect> shardReadFailed(long nowNs) {
        reading = false;
        scheduleReadRetry(nowNs);
        return List.of();
    }

    /**
     * Handles a commit that took effect.
     *
     * @param nowNs monotonic time
     * @param commitId id of the commit
     * @param versions the new row versions by key
     * @return the effects
     */
    public List<Effect> committed(long nowNs, String commitId, Map<String, Long> versions) {
        if (active.isEmpty() || !versions.containsKey(path.head())) {
            return List.of();
        }
        ShardContext context = active.get().context;
        context.effects.addAll(context.log.committed(commitId, versions.get(path.head())));
        return tick(nowNs);
    }

    /**
     * Handles a commit whose condition failed.
     *
     * @param nowNs monotonic time
     * @param commitId id of the commit
     * @return the effects
     */
    public List<Effect> conflicted(long nowNs, String commitId) {
        if (active.isEmpty()) {
            return List.of();
        }
        active.get().context.effects.addAll(active.get().context.log.conflicted(commitId));
        return tick(nowNs);
    }

    /**
     * Handles a failed commit.
     *
     * @param nowNs monotonic time
     * @param commitId id of the commit
     * @param effect whether the commit may still have taken effect
     * @return the effects
     */
    public List<Effect> commitFailed(long nowNs, String commitId, PlatformException.Effect effect) {
        if (active.isEmpty()) {
            return List.of();
        }
        active.get().context.effects.addAll(active.get().context.log.commitFailed(commitId, effect, nowNs));
        return tick(nowNs);
    }

    /**
     * Handles the result of reading the head row.
     *
     * @param nowNs monotonic time
     * @param head the row, empty if it does not exist
     * @return the effects
     */
    public List<Effect> headRead(long nowNs, Optional<Row> head) {
        if (active.isEmpty()) {
            return List.of();
        }
        ShardContext context = active.get().context;
        context.effects.addAll(context.log.headRead(head, nowNs));
        return context.log.isOwnershipLost() ? dropShard(nowNs, "another process wrote the head row") : tick(nowNs);
    }

    /**
     * Handles a failed read of the head row.
     *
     * @param nowNs monotonic time
     */
    public void headReadFailed(long nowNs) {
        active.ifPresent(shard -> shard.context.log.headReadFailed(nowNs));
    }

    /**
     * Handles the result of writing an object.
     *
     * @param name the object's name
     * @param written true only if the write is confirmed
     */
    public void objectWritten(String name, boolean written) {
        active.ifPresent(shard -> shard.context.log.objectWritten(name, written));
    }

    private List<Effect> dropShard(long nowNs, String reason) {
        if (active.isEmpty()) {
            return List.of();
        }
        active.get().ownershipLost(reason);
        List<Effect> effects = active.get().drainEffects();
        active = Optional.empty();
        scheduleReadRetry(nowNs);
        return effects;
    }

    private void scheduleReadRetry(long nowNs) {
        nextReadNs = nowNs + READ_RETRY_NS / 2 + random.nextLong(READ_RETRY_NS);
    }

    /**
     * Handles a worker's report.
     *
     * @param nowNs monotonic time of receipt
     * @param report the report; the caller requests a worker's reports one at a time
     * @return the effects
     */
    public List<Effect> report(long nowNs, WorkerReport report) {
        active.ifPresent(shard -> shard.report(report, nowNs));
        return tick(nowNs);
    }

    /**
     * Handles a worker's answer to a call.
     *
     * @param nowNs monotonic time
     * @param call the call
     * @param result the answer
     * @return the effects
     */
    public List<Effect> workerAnswered(long nowNs, WorkerCall call, WorkerCall.Result result) {
        active.ifPresent(shard -> shard.workerAnswered(call, result));
        return tick(nowNs);
    }

    /**
     * Handles a client's call.
     *
     * @param nowNs monotonic time
     * @param callId id that the answer refers to
     * @param call the call
     * @return the effects
     */
    public List<Effect> client(long nowNs, long callId, ClientCall call) {
        if (!isActive()) {
            return List.of(new Effect.Answer(
                    callId, new ClientAnswer.Unavailable("this process does not own the job's shard")));
        }
        active.get().client(callId, call, nowNs);
        return tick(nowNs);
    }

    /**
     * Returns whether the shard is owned, its state is rebuilt and former owners are fenced off.
     *
     * @return whether it is active
     */
    public boolean isActive() {
        return active.map(ActiveShard::isFenced).orElse(false);
    }

    /**
     * Returns whether all decisions so far are durable.
     *
     * @return true if no commit is pending or in flight
     */
    public boolean isSettled() {
        return active.map(shard -> shard.context.log.isSettled()).orElse(true);
    }

    /**
     * Returns the workers that the daemon polls for reports.
     *
     * @return name and address of each
     */
    public Map<String, String> workers() {
        return active.map(ActiveShard::workers).orElse(Map.of());
    }
}
