package org.pollensill.entry;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;

import org.pollensill.contract.OwnerPool;
import org.pollensill.contract.PoolLoad;
import org.pollensill.contract.ServiceContract;
import org.pollensill.platform.Host;
import org.pollensill.runtime.http.HttpClient;
import org.pollensill.runtime.net.AddressException;
import org.pollensill.runtime.net.Addresses;
import org.pollensill.settings.Effective;
import org.pollensill.upstream.EjectionPolicy;
import org.pollensill.zone.RunningWork;

/** Upstream pools of this process, one per service. */
final class LocalPools {

    private final Map<String, ServicePool> pools = new ConcurrentHashMap<>();
    private final HttpClient client;
    private final HttpClient probeClient;
    private final UpstreamOwnership ownership;
    private final LongSupplier clockNs;
    private final RequestTraces traces;
    private final SliceGrant[] grants;
    private volatile boolean draining;

    LocalPools(
            HttpClient client,
            HttpClient probeClient,
            UpstreamOwnership ownership,
            LongSupplier clockNs,
            RequestTraces traces) {
        this.client = Objects.requireNonNull(client, "client is null");
        this.probeClient = Objects.requireNonNull(probeClient, "probeClient is null");
        this.ownership = Objects.requireNonNull(ownership, "ownership is null");
        this.grants = new SliceGrant[ownership.slices()];
        this.clockNs = Objects.requireNonNull(clockNs, "clockNs is null");
        this.traces = Objects.requireNonNull(traces, "traces is null");
    }

    /** Applies the settings to all pools. A service that is no longer in the settings keeps its last contract. */
    void settingsChanged(Effective settings) {
        EjectionPolicy policy = EjectionPolicy.standard()
                .with(
                        settings.entry().ejectedUpstreamsPercent(),
                        settings.entry().probeIntervalMs());
        for (String service : settings.services()) {
            settings.service(service).ifPresent(contract -> apply(contract, policy));
        }
    }

    private void apply(ServiceContract contract, EjectionPolicy policy) {
        long nowNs = clockNs.getAsLong();
        ServicePool pool = pools.get(contract.service());
        if (pool != null) {
            pool.perform(pool.ownerPool().settingsChanged(contract, policy, nowNs));
            return;
        }
        OwnerPool ownerPool = OwnerPool.of(contract, policy, RandomGenerator.getDefault(), nowNs);
        if (draining) {
            ownerPool.drain();
        }
        pools.put(contract.service(), new ServicePool(ownerPool, client, probeClient, ownership, clockNs, traces));
    }

    /** Updates the upstreams of the local zone. Missing entries are not removed, because the host list lags. */
    void updateHosts(List<Host> upstreams) {
        for (Host host : upstreams) {
            ServicePool pool = pools.get(host.service());
            if (pool == null) {
                continue;
            }
            try {
                InetSocketAddress address = Addresses.parse(host.address());
                pool.updateUpstream(host, address);
            } catch (AddressException e) {
                // Skips an entry with an invalid address; the next read of the list may correct it.
                continue;
            }
        }
        pools.values().forEach(ServicePool::refreshOwnership);
    }

    /** Applies ownership changes to the pools. Compares one grant per slice and does further work only on a change. */
    synchronized void refreshOwnership() {
        boolean changed = false;
        long nowNs = clockNs.getAsLong();
        for (int slice = 0; slice < grants.length; slice++) {
            SliceGrant current = ownership.grant(slice, nowNs);
            changed |= !current.equals(grants[slice]);
            grants[slice] = current;
        }
        if (changed) {
            pools.values().forEach(ServicePool::refreshOwnership);
        }
    }

    /** Returns the work in progress in a slice. */
    List<RunningWork> running(int slice) {
        List<RunningWork> running = new ArrayList<>();
        pools.values().forEach(pool -> pool.collectRunning(slice, running));
        return running;
    }

    Optional<ServicePool> pool(String service) {
        return Optional.ofNullable(pools.get(service));
    }

    /** Returns whether any upstream has a half allowance because a change of ownership is still in progress. */
    boolean hasHalfAllowance() {
        for (ServicePool pool : pools.values()) {
            if (pool.hasHalfAllowance()) {
                return true;
            }
        }
        return false;
    }

    void tick() {
        pools.values().forEach(ServicePool::tick);
    }

    void drain() {
        draining = true;
        pools.values().forEach(pool -> pool.ownerPool().drain());
    }

    int pending() {
        int pending = 0;
        for (ServicePool pool : pools.values()) {
            pending += pool.ownerPool().pending();
        }
        return pending;
    }

    List<UpstreamStatus> upstreams() {
        List<UpstreamStatus> list = new ArrayList<>();
        pools.forEach((service, pool) -> pool.addUpstreams(service, list));
        return list;
    }

    List<PoolLoad> loads() {
        List<PoolLoad> loads = new ArrayList<>(pools.size());
        pools.values().forEach(pool -> loads.add(pool.ownerPool().load()));
        return loads;
    }
}
