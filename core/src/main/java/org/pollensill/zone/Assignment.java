package org.pollensill.zone;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * Assigns slices to members by rendezvous hashing. The slice counts of any two members differ by at most one, and no
 * more slices move than this balance requires.
 */
public final class Assignment {

    private Assignment() {}

    /**
     * Assigns every slice to a member.
     *
     * @param owners the current owners by slice, empty if there is none
     * @param movable whether a slice should be moved in preference to others, by slice
     * @param members the members
     * @return the new owners by slice
     * @throws IllegalArgumentException if there is no member
     */
    public static List<MemberId> assign(
            List<Optional<MemberId>> owners, List<Boolean> movable, List<MemberId> members) {
        Objects.requireNonNull(owners, "owners is null");
        Objects.requireNonNull(movable, "movable is null");
        Objects.requireNonNull(members, "members is null");
        if (members.isEmpty()) {
            throw new IllegalArgumentException("members is empty");
        }
        Map<MemberId, List<Integer>> kept = new HashMap<>();
        members.forEach(member -> kept.put(member, new ArrayList<>()));
        MemberId[] result = new MemberId[owners.size()];
        for (int slice = 0; slice < result.length; slice++) {
            MemberId owner = owners.get(slice).orElse(null);
            if (owner != null && kept.containsKey(owner)) {
                kept.get(owner).add(slice);
                result[slice] = owner;
            }
        }
        Map<MemberId, Integer> quotas = quotas(kept, members, result.length);
        for (MemberId member : members) {
            List<Integer> slices = kept.get(member);
            slices.sort(Comparator.<Integer, Boolean>comparing(movable::get)
                    .thenComparing(slice -> score(member, slice), Comparator.reverseOrder()));
            for (int i = quotas.get(member); i < slices.size(); i++) {
                result[slices.get(i)] = null;
            }
        }
        Map<MemberId, Integer> remaining = new HashMap<>();
        members.forEach(member ->
                remaining.put(member, quotas.get(member) - kept.get(member).size()));
        for (int slice = 0; slice < result.length; slice++) {
            if (result[slice] == null) {
                MemberId owner = highestScoring(slice, members, remaining);
                remaining.merge(owner, -1, Integer::sum);
                result[slice] = owner;
            }
        }
        return List.of(result);
    }

    /**
     * Returns the slice of a resource.
     *
     * @param name the resource's name
     * @param slices number of slices
     * @return the slice's number
     * @throws IllegalArgumentException if {@code slices} is less than 1
     */
    public static int sliceOf(String name, int slices) {
        Objects.requireNonNull(name, "name is null");
        if (slices < 1) {
            throw new IllegalArgumentException("slices is less than 1: " + slices);
        }
        return (int) Long.remainderUnsigned(hash(0, name), slices);
    }

    /** Gives the larger quotas to the members that own the most slices, which minimises the slices that move. */
    private static Map<MemberId, Integer> quotas(
            Map<MemberId, List<Integer>> kept, List<MemberId> members, int slices) {
        int base = slices / members.size();
        int larger = slices % members.size();
        List<MemberId> ordered = new ArrayList<>(members);
        ordered.sort(Comparator.<MemberId>comparingInt(
                        member -> -Math.min(kept.get(member).size(), base + 1))
                .thenComparing(MemberId::name)
                .thenComparing(MemberId::incarnation));
        Map<MemberId, Integer> quotas = new HashMap<>();
        for (int i = 0; i < ordered.size(); i++) {
            quotas.put(ordered.get(i), i < larger ? base + 1 : base);
        }
        return quotas;
    }

    private static MemberId highestScoring(int slice, List<MemberId> members, Map<MemberId, Integer> remaining) {
        MemberId best = null;
        long bestScore = 0;
        for (MemberId member : members) {
            long score = score(member, slice);
            if (remaining.get(member) > 0 && (best == null || score > bestScore)) {
                best = member;
                bestScore = score;
            }
        }
        return best;
    }

    /** Hashes only the name of the member, so that a restarted process gets its previous slices again. */
    private static long score(MemberId member, int slice) {
        return hash(slice, member.name());
    }

    private static long hash(long seed, String name) {
        long hash = 0xcbf29ce484222325L ^ seed;
        for (int i = 0; i < name.length(); i++) {
            hash = (hash ^ name.charAt(i)) * 0x100000001b3L;
        }
        hash = (hash ^ (hash >>> 33)) * 0xff51afd7ed558ccdL;
        hash = (hash ^ (hash >>> 33)) * 0xc4ceb9fe1a85ec53L;
        return hash ^ (hash >>> 33);
    }
}
