package org.pollensill.scheduler;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

import org.pollensill.batch.ShardPath;
import org.pollensill.platform.Host;
import org.pollensill.platform.HostList;
import org.pollensill.runtime.boot.BootFile;
import org.pollensill.runtime.event.EventLog;
import org.pollensill.runtime.net.AddressException;
import org.pollensill.runtime.net.Addresses;
import org.pollensill.runtime.peer.PeerHub;
import org.pollensill.runtime.zone.ZoneAgent;

/** Reads the host list and tells the shards about workers and the peer hub about schedulers and entry hosts. */
final class HostWatch {

    private static final EventLog LOG = EventLog.of(HostWatch.class);

    private final BootFile boot;
    private final HostList hostList;
    private final PeerHub hub;
    private final ZoneAgent zone;
    private final List<ShardDriver> shards;
    private volatile boolean read;
    private volatile boolean available = true;
    private volatile List<Host> lastListed = List.of();

    HostWatch(BootFile boot, HostList hostList, PeerHub hub, ZoneAgent zone, List<ShardDriver> shards) {
        this.boot = Objects.requireNonNull(boot, "boot is null");
        this.hostList = Objects.requireNonNull(hostList, "hostList is null");
        this.hub = Objects.requireNonNull(hub, "hub is null");
        this.zone = Objects.requireNonNull(zone, "zone is null");
        this.shards = List.copyOf(shards);
        hub.setDesiredPeers(boot.peers());
    }

    boolean hasRead() {
        return read;
    }

    void poll() {
        hostList.hosts().whenComplete((hosts, failure) -> {
            if (failure == null) {
                read = true;
                available = true;
                lastListed = hosts;
                zone.onHostList(hosts, Host.Role.SCHEDULER);
                tellShards(hosts);
            } else {
                if (available) {
                    LOG.log(SchedulerEvent.HOSTS_FAILED, failure, new Object[0]);
                }
                available = false;
            }
            // Members that the view names are wanted although the list cannot be read.
            hub.setDesiredPeers(wanted(lastListed));
        });
    }

    private void tellShards(List<Host> hosts) {
        Map<Integer, List<Host>> byShard = new HashMap<>();
        for (Host host : hosts) {
            if (host.role() == Host.Role.WORKER && host.zone().equals(boot.zone())) {
                byShard.computeIfAbsent(ShardPath.shardOf(host.name()), shard -> new ArrayList<>())
                        .add(host);
            }
        }
        for (int shard = 0; shard < shards.size(); shard++) {
            shards.get(shard).hosts(byShard.getOrDefault(shard, List.of()));
        }
    }

    private List<InetSocketAddress> wanted(List<Host> hosts) {
        List<InetSocketAddress> peers = new ArrayList<>(boot.peers());
        for (Host host : hosts) {
            boolean peer = host.role() == Host.Role.ENTRY || host.role() == Host.Role.SCHEDULER;
            if (peer && host.zone().equals(boot.zone())) {
                add(host, peers);
            }
        }
        zone.peers().stream().filter(peer -> !peers.contains(peer)).forEach(peers::add);
        return peers;
    }

    private void add(Host host, List<InetSocketAddress> peers) {
        try {
            InetSocketAddress address = Addresses.parse(host.address());
            if (!address.equals(boot.peerAddress()) && !peers.contains(address)) {
                peers.add(address);
            }
        } catch (AddressException e) {
            // The next reading of the list may correct the entry.
            return;
        }
    }
}
