package org.pollensill.entry;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.pollensill.contract.PoolLoad;
import org.pollensill.runtime.peer.PeerIdentity;

/** Last reported load per peer and service, with the number of requests forwarded since the report. */
final class PeerLoads {

    /** Reports are sent at least once per second; the margin covers scheduling delays and one lost report. */
    private static final long REPORT_TIMEOUT_NS = 2_000_000_000L;

    private final Map<Key, ReportedLoad> loads = new ConcurrentHashMap<>();

    private record Key(InetSocketAddress peer, String service) {}

    /**
     * A load report.
     *
     * @param address address of the peer's listener
     * @param peer the peer
     * @param load the load
     * @param forwardedSinceReport number of requests forwarded to the peer since the report
     * @param receivedAtNs time of receipt
     */
    record ReportedLoad(
            InetSocketAddress address, PeerIdentity peer, PoolLoad load, int forwardedSinceReport, long receivedAtNs) {}

    void update(InetSocketAddress address, PeerIdentity peer, PoolLoad load, long nowNs) {
        loads.put(new Key(address, load.service()), new ReportedLoad(address, peer, load, 0, nowNs));
    }

    void countForward(InetSocketAddress address, String service) {
        loads.computeIfPresent(
                new Key(address, service),
                (key, previous) -> new ReportedLoad(
                        address,
                        previous.peer(),
                        previous.load(),
                        previous.forwardedSinceReport() + 1,
                        previous.receivedAtNs()));
    }

    /** Returns whether the last report of a peer is older than the timeout. False for peers without a report. */
    boolean isUnresponsive(InetSocketAddress address, String service, long nowNs) {
        ReportedLoad report = loads.get(new Key(address, service));
        return report != null && nowNs - report.receivedAtNs() > REPORT_TIMEOUT_NS;
    }

    void remove(InetSocketAddress address) {
        loads.keySet().removeIf(key -> key.peer().equals(address));
    }

    /** Returns the reports of all peers that have slots for a service. */
    List<ReportedLoad> forService(String service) {
        List<ReportedLoad> served = new ArrayList<>();
        for (Map.Entry<Key, ReportedLoad> entry : loads.entrySet()) {
            if (entry.getKey().service().equals(service)
                    && entry.getValue().load().totalSlots() > 0) {
                served.add(entry.getValue());
            }
        }
        return served;
    }
}
