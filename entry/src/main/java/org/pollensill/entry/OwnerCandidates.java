package org.pollensill.entry;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import org.pollensill.contract.KindContract;
import org.pollensill.contract.PoolLoad;
import org.pollensill.link.LinkClass;
import org.pollensill.link.OwnerLoad;
import org.pollensill.link.OwnerSelector;
import org.pollensill.runtime.boot.BootFile;
import org.pollensill.runtime.peer.PeerIdentity;
import org.pollensill.settings.Effective;

/** Collects the local, zone, region and other-region owners that can take a request, and chooses one. */
final class OwnerCandidates {

    private static final String LOCAL_OWNER = "";
    private static final long NS_PER_MS = 1_000_000;
    /** One-way latency inside a zone. Zones of one region are at most 1 ms apart. */
    private static final long ZONE_ONE_WAY_NS = NS_PER_MS / 4;

    private static final long REGION_ONE_WAY_NS = NS_PER_MS;

    private final BootFile boot;
    private final LocalPools pools;
    private final PeerLoads loads;
    private final RegionLinks links;
    private final Supplier<Optional<Effective>> settings;
    private final RandomGenerator random;
    private final OwnerSelector selector = OwnerSelector.nearestWithinDeadline();

    /**
     * A chosen owner.
     *
     * @param peer address of the owner's peer listener, empty for this process
     * @param otherRegion the owner's region, empty if it is the local region
     */
    record Candidate(Optional<InetSocketAddress> peer, Optional<String> otherRegion) {}

    OwnerCandidates(
            BootFile boot,
            LocalPools pools,
            PeerLoads loads,
            RegionLinks links,
            Supplier<Optional<Effective>> settings,
            RandomGenerator random) {
        this.boot = Objects.requireNonNull(boot, "boot is null");
        this.pools = Objects.requireNonNull(pools, "pools is null");
        this.loads = Objects.requireNonNull(loads, "loads is null");
        this.links = Objects.requireNonNull(links, "links is null");
        this.settings = Objects.requireNonNull(settings, "settings is null");
        this.random = Objects.requireNonNull(random, "random is null");
    }

    /**
     * Chooses an owner.
     *
     * @param request the request
     * @param triedOwners addresses of peers that have been tried
     * @param triedLocal whether the local pool has been tried
     * @param nowNs current time
     * @return the owner, empty if none is left
     */
    Optional<Candidate> choose(
            CallerRequest request, Set<InetSocketAddress> triedOwners, boolean triedLocal, long nowNs) {
        Optional<Effective> values = settings.get();
        List<OwnerLoad> owners = new ArrayList<>();
        Map<String, PeerLoads.ReportedLoad> peers = new HashMap<>();
        if (!triedLocal) {
            addLocal(request, owners);
        }
        boolean linkHasCapacity = false;
        for (PeerLoads.ReportedLoad report : loads.forService(request.service())) {
            if (triedOwners.contains(report.address())) {
                continue;
            }
            OwnerLoad load = load(request, report, values, nowNs);
            if (load.place() == OwnerLoad.Place.OTHER_REGION) {
                // Skips regions whose link is full, so that one full link does not block the other regions.
                if (!linkHasCapacity(request, report.peer(), values, nowNs)) {
                    continue;
                }
                linkHasCapacity = true;
            }
            owners.add(load);
            peers.put(load.owner(), report);
        }
        long remainingNs = request.description().deadline().remainingNs(nowNs);
        return selector.choose(new OwnerSelector.Request(remainingNs, 0, linkHasCapacity), owners, random)
                .map(owner -> candidate(owner, peers));
    }

    /** Reserves the bytes of a request on the link to the owner's region. Always succeeds inside the region. */
    boolean reserveLink(CallerRequest request, Candidate candidate, long nowNs) {
        Optional<Effective> values = settings.get();
        return candidate.otherRegion().isEmpty()
                || values.isPresent()
                        && links.tryAcquire(
                                values.get(),
                                candidate.otherRegion().get(),
                                request,
                                linkClass(request, values),
                                nowNs);
    }

    /** Returns whether the local pool or a peer has slots for the service. */
    boolean isServed(String service) {
        boolean local = pools.pool(service)
                .filter(pool -> pool.ownerPool().load().totalSlots() > 0)
                .isPresent();
        return local || !loads.forService(service).isEmpty();
    }

    void recordAnswerSize(CallerRequest request, long bytes) {
        links.recordAnswerSize(request, bytes);
    }

    private void addLocal(CallerRequest request, List<OwnerLoad> owners) {
        Optional<PoolLoad> local =
                pools.pool(request.service()).map(pool -> pool.ownerPool().load());
        if (local.isPresent() && local.get().totalSlots() > 0) {
            owners.add(ownerLoad(request, LOCAL_OWNER, OwnerLoad.Place.HERE, local.get(), 0, 0, 0));
        }
    }

    private OwnerLoad load(
            CallerRequest request, PeerLoads.ReportedLoad report, Optional<Effective> values, long nowNs) {
        PeerIdentity peer = report.peer();
        OwnerLoad.Place place = place(peer);
        long oneWayNs =
                switch (place) {
                    case HERE, ZONE -> ZONE_ONE_WAY_NS;
                    case REGION -> REGION_ONE_WAY_NS;
                    case OTHER_REGION ->
                        values.map(present -> present.link(boot.region(), peer.region())
                                                .oneWayMs())
                                        .orElse(0L)
                                * NS_PER_MS;
                };
        return ownerLoad(
                request,
                peer.address(),
                place,
                report.load(),
                report.forwardedSinceReport(),
                oneWayNs,
                Math.max(0, nowNs - report.receivedAtNs()));
    }

    private OwnerLoad.Place place(PeerIdentity peer) {
        if (!peer.region().equals(boot.region())) {
            return OwnerLoad.Place.OTHER_REGION;
        }
        return peer.zone().equals(boot.zone()) ? OwnerLoad.Place.ZONE : OwnerLoad.Place.REGION;
    }

    private static OwnerLoad ownerLoad(
            CallerRequest request,
            String owner,
            OwnerLoad.Place place,
            PoolLoad load,
            int forwardedSinceReport,
            long oneWayNs,
            long ageNs) {
        String kind = request.description().kind();
        int freeSlots = load.freeSlots();
        long queueWaitNs = 0;
        for (PoolLoad.KindLoad kindLoad : load.kinds()) {
            if (kindLoad.kind().equals(kind)) {
                freeSlots = kindLoad.freeSlots();
                queueWaitNs = kindLoad.queueWaitMs() * NS_PER_MS;
                break;
            }
        }
        int free = Math.max(0, freeSlots - forwardedSinceReport);
        return new OwnerLoad(owner, place, request.service(), kind, free, queueWaitNs, oneWayNs, ageNs);
    }

    private boolean linkHasCapacity(CallerRequest request, PeerIdentity peer, Optional<Effective> values, long nowNs) {
        return values.isPresent()
                && links.canAcquire(values.get(), peer.region(), request, linkClass(request, values), nowNs);
    }

    private static LinkClass linkClass(CallerRequest request, Optional<Effective> values) {
        return values.map(present -> linkClass(request, present)).orElse(LinkClass.NORMAL);
    }

    /** Returns the link class of a request and its answer, which sets their priority on links between regions. */
    static LinkClass linkClass(CallerRequest request, Effective values) {
        return values.service(request.service())
                .flatMap(service -> service.kind(request.description().kind()))
                .map(KindContract::urgency)
                .map(LinkClass::ofUrgency)
                .orElse(LinkClass.NORMAL);
    }

    private static Candidate candidate(OwnerLoad owner, Map<String, PeerLoads.ReportedLoad> peers) {
        PeerLoads.ReportedLoad report = peers.get(owner.owner());
        if (report == null) {
            return new Candidate(Optional.empty(), Optional.empty());
        }
        boolean other = owner.place() == OwnerLoad.Place.OTHER_REGION;
        return new Candidate(
                Optional.of(report.address()), other ? Optional.of(report.peer().region()) : Optional.empty());
    }
}
