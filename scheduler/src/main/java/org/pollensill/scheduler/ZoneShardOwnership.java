package org.pollensill.scheduler;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.pollensill.batch.Ownership;
import org.pollensill.batch.ShardHead;
import org.pollensill.batch.ShardPath;
import org.pollensill.platform.Row;
import org.pollensill.platform.TableService;
import org.pollensill.runtime.zone.ZoneAgent;
import org.pollensill.zone.Share;
import org.pollensill.zone.SliceRight;

/** Ownership of shards by the zone's view; each shard is a slice of the view. */
final class ZoneShardOwnership implements ShardOwnership {

    private static final long HEADS_INTERVAL_MS = 2_000;

    private final ZoneAgent agent;
    private final String zone;
    private final TableService tables;
    private final ScheduledExecutorService timer;
    private final Map<Integer, String> addresses = new ConcurrentHashMap<>();

    ZoneShardOwnership(ZoneAgent agent, String zone, TableService tables, ScheduledExecutorService timer) {
        this.agent = Objects.requireNonNull(agent, "agent is null");
        this.zone = Objects.requireNonNull(zone, "zone is null");
        this.tables = Objects.requireNonNull(tables, "tables is null");
        this.timer = Objects.requireNonNull(timer, "timer is null");
    }

    @Override
    public void start() {
        agent.start(timer);
        timer.scheduleWithFixedDelay(this::readOwners, HEADS_INTERVAL_MS, HEADS_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    /** Head rows name their owner's operators' address, to which callers are sent on. */
    private void readOwners() {
        List<String> keys = new ArrayList<>();
        for (int shard = 0; shard < ShardPath.SHARDS; shard++) {
            keys.add(new ShardPath(zone, shard).head());
        }
        tables.read(keys, List.of()).thenAccept(rows -> {
            for (Row row : rows) {
                String owner = ShardHead.parse(row.value()).owner();
                addresses.put(keys.indexOf(row.key()), owner.substring(0, owner.indexOf('#')));
            }
        });
    }

    /** Returns the name under which a process owns shards. */
    static String ownerName(String operatorsAddress, String incarnation) {
        return operatorsAddress + "#" + incarnation;
    }

    @Override
    public Ownership current(int shard, long nowNs) {
        SliceRight right = agent.right(shard, nowNs);
        // A share of none is the wait after a takeover, during which the former owner may still act.
        if (!right.isOwner() || right.share() == Share.NONE) {
            return Ownership.NONE;
        }
        Ownership.State state = right.confirmed() ? Ownership.State.CONFIRMED : Ownership.State.UNCONFIRMED;
        return new Ownership(state, right.epoch(), right.formerOwnersResolved());
    }

    @Override
    public Optional<String> ownerAddress(int shard) {
        return Optional.ofNullable(addresses.get(shard));
    }

    @Override
    public CompletableFuture<Void> release() {
        return agent.leave();
    }
}
