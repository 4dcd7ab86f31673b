package org.pollensill.link;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Searches outwards: this zone, the other zones of the region, then other regions by increasing network delay. If a
 * request would queue or miss its deadline in this zone, the cheaper of this zone and the other zones is taken: another
 * zone wins where it saves more queueing time than its longer round trip costs. Other regions are considered only when
 * no owner in this region can meet the deadline.
 */
final class NearestWithinDeadline implements OwnerSelector {

    static final NearestWithinDeadline INSTANCE = new NearestWithinDeadline();

    /** Older reports are ignored: 6 heartbeats were missed, after which the owner is suspected to have failed. */
    private static final long MAX_REPORT_AGE_NS = 1_500_000_000L;

    private static final Comparator<OwnerLoad> BY_COST = Comparator.comparingLong(OwnerLoad::costNs)
            .thenComparing(Comparator.comparingInt(OwnerLoad::freeSlots).reversed());

    private NearestWithinDeadline() {}

    @Override
    public Optional<OwnerLoad> choose(Request request, List<OwnerLoad> owners, RandomGenerator random) {
        Optional<OwnerLoad> inZone = betterOfTwo(request, freshOwnersIn(owners, OwnerLoad.Place.ZONE), random);
        if (meetsDeadline(request, inZone)
                && inZone.get().costNs() <= 2 * inZone.get().oneWayNs()) {
            return inZone;
        }
        Optional<OwnerLoad> inRegion = betterOfTwo(request, freshOwnersIn(owners, OwnerLoad.Place.REGION), random);
        Optional<OwnerLoad> nearby = cheaper(inZone, inRegion);
        if (meetsDeadline(request, nearby)) {
            return nearby;
        }
        if (request.linkHasCapacity()) {
            Optional<OwnerLoad> remote = owners.stream()
                    .filter(owner -> owner.place() == OwnerLoad.Place.OTHER_REGION && owner.ageNs() < MAX_REPORT_AGE_NS)
                    .filter(owner -> meetsDeadline(request, Optional.of(owner)))
                    .min(Comparator.comparingLong(OwnerLoad::oneWayNs).thenComparingLong(OwnerLoad::costNs));
            if (remote.isPresent()) {
                return remote;
            }
        }
        // No admissible owner seems to meet the deadline. This one has more recent load figures and refuses if they
        // confirm it.
        return nearby;
    }

    private static List<OwnerLoad> freshOwnersIn(List<OwnerLoad> owners, OwnerLoad.Place place) {
        List<OwnerLoad> fresh = new ArrayList<>();
        for (OwnerLoad owner : owners) {
            boolean local = owner.place() == OwnerLoad.Place.HERE && place == OwnerLoad.Place.ZONE;
            if (local || owner.place() == place && owner.ageNs() < MAX_REPORT_AGE_NS) {
                fresh.add(owner);
            }
        }
        return fresh;
    }

    /**
     * Picks two owners at random and returns the better one, since the best of all owners would receive the requests of
     * every entry host at once. If the better one misses the deadline, returns the best of all owners.
     */
    private static Optional<OwnerLoad> betterOfTwo(Request request, List<OwnerLoad> owners, RandomGenerator random) {
        if (owners.size() < 2) {
            return owners.stream().findFirst();
        }
        int firstIndex = random.nextInt(owners.size());
        int secondIndex = random.nextInt(owners.size() - 1);
        secondIndex += secondIndex >= firstIndex ? 1 : 0;
        OwnerLoad first = owners.get(firstIndex);
        OwnerLoad second = owners.get(secondIndex);
        OwnerLoad better = BY_COST.compare(first, second) <= 0 ? first : second;
        return meetsDeadline(request, Optional.of(better))
                ? Optional.of(better)
                : owners.stream().min(BY_COST);
    }

    private static Optional<OwnerLoad> cheaper(Optional<OwnerLoad> first, Optional<OwnerLoad> second) {
        if (first.isEmpty() || second.isEmpty()) {
            return first.isPresent() ? first : second;
        }
        return first.get().costNs() <= second.get().costNs() ? first : second;
    }

    private static boolean meetsDeadline(Request request, Optional<OwnerLoad> owner) {
        return owner.isPresent() && owner.get().costNs() + request.serviceNs() <= request.remainingNs();
    }
}
