package org.pollensill.entry;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;

import org.pollensill.platform.Host;
import org.pollensill.platform.HostList;
import org.pollensill.runtime.boot.BootFile;
import org.pollensill.runtime.event.EventLog;
import org.pollensill.runtime.net.AddressException;
import org.pollensill.runtime.net.Addresses;
import org.pollensill.runtime.peer.PeerHub;
import org.pollensill.runtime.zone.ZoneAgent;

/** Polls the host list and updates the upstreams of the pools and the peers of the peer hub. */
final class HostPoller {

    private static final EventLog LOG = EventLog.of(HostPoller.class);

    /** Number of connected entry hosts per zone of another region. */
    private static final int PEERS_PER_REMOTE_ZONE = 2;

    private final BootFile boot;
    private final HostList hostList;
    private final PeerHub hub;
    private final ZoneAgent zone;
    private final LocalPools pools;
    private volatile boolean available = true;
    private volatile List<Host> lastHosts = List.of();

    HostPoller(BootFile boot, HostList hostList, PeerHub hub, ZoneAgent zone, LocalPools pools) {
        this.boot = Objects.requireNonNull(boot, "boot is null");
        this.hostList = Objects.requireNonNull(hostList, "hostList is null");
        this.hub = Objects.requireNonNull(hub, "hub is null");
        this.zone = Objects.requireNonNull(zone, "zone is null");
        this.pools = Objects.requireNonNull(pools, "pools is null");
        hub.setDesiredPeers(boot.peers());
    }

    void poll() {
        hostList.hosts().whenComplete((hosts, failure) -> {
            if (failure != null) {
                if (available) {
                    LOG.log(EntryEvent.HOST_LIST_UNAVAILABLE, failure, new Object[0]);
                }
                available = false;
                // Peers of the view are still needed while the list cannot be read.
                hub.setDesiredPeers(desiredPeers(lastHosts));
                return;
            }
            if (!available) {
                LOG.log(EntryEvent.HOST_LIST_AVAILABLE, "hosts", hosts.size());
            }
            available = true;
            updateHosts(hosts);
        });
    }

    /** Returns whether the last read succeeded. */
    boolean isAvailable() {
        return available;
    }

    private void updateHosts(List<Host> hosts) {
        lastHosts = hosts;
        List<Host> ownUpstreams = new ArrayList<>();
        for (Host host : hosts) {
            if (host.role() == Host.Role.UPSTREAM
                    && host.region().equals(boot.region())
                    && host.zone().equals(boot.zone())) {
                ownUpstreams.add(host);
            }
        }
        hub.setDesiredPeers(desiredPeers(hosts));
        zone.onHostList(hosts, Host.Role.ENTRY);
        pools.updateHosts(ownUpstreams);
    }

    /**
     * Returns the peers to connect to: entry hosts of the region, a few per zone of other regions, schedulers of the
     * zone, and the peers of the boot file and of the view.
     */
    private List<InetSocketAddress> desiredPeers(List<Host> hosts) {
        List<InetSocketAddress> peers = new ArrayList<>(boot.peers());
        for (Host host : hosts) {
            boolean entryHost = host.role() == Host.Role.ENTRY && host.region().equals(boot.region());
            boolean zoneScheduler =
                    host.role() == Host.Role.SCHEDULER && host.zone().equals(boot.zone());
            if (entryHost || zoneScheduler) {
                addPeer(host, peers);
            }
        }
        addOtherRegions(hosts, peers);
        zone.peers().stream().filter(peer -> !peers.contains(peer)).forEach(peers::add);
        return peers;
    }

    /** Selects entry hosts of other regions by a hash that includes the local host name, which spreads connections. */
    private void addOtherRegions(List<Host> hosts, List<InetSocketAddress> peers) {
        Map<String, List<Host>> byZone = new TreeMap<>();
        for (Host host : hosts) {
            if (host.role() == Host.Role.ENTRY && !host.region().equals(boot.region())) {
                byZone.computeIfAbsent(host.region() + "/" + host.zone(), key -> new ArrayList<>())
                        .add(host);
            }
        }
        for (List<Host> zoneHosts : byZone.values()) {
            zoneHosts.sort(Comparator.comparingInt(host -> (host.name() + boot.host()).hashCode()));
            zoneHosts.stream().limit(PEERS_PER_REMOTE_ZONE).forEach(host -> addPeer(host, peers));
        }
    }

    private void addPeer(Host host, List<InetSocketAddress> peers) {
        try {
            InetSocketAddress address = Addresses.parse(host.address());
            if (!address.equals(boot.peerAddress()) && !peers.contains(address)) {
                peers.add(address);
            }
        } catch (AddressException e) {
            // Skips an invalid address; the next read of the list may correct it.
            return;
        }
    }
}
