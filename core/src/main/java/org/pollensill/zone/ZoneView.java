package org.pollensill.zone;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;

/**
 * The members of a role in a zone and the ownership of its slices at one epoch.
 *
 * @param epoch number of the view, starting from 1
 * @param commitId identity of the commit that wrote the view
 * @param members the members in the order of their admission
 * @param slices the slices by number
 */
public record ZoneView(long epoch, String commitId, List<MemberId> members, List<Slice> slices) {

    /** Epoch of the first view of a zone, before which no slice had an owner. */
    public static final long FIRST_EPOCH = 1;

    /**
     * Creates a view.
     *
     * @throws NullPointerException if an argument is null
     * @throws IllegalArgumentException if the epoch is less than 1, or the owner of a slice is not a member
     */
    public ZoneView {
        Objects.requireNonNull(commitId, "commitId is null");
        members = List.copyOf(Objects.requireNonNull(members, "members is null"));
        slices = List.copyOf(Objects.requireNonNull(slices, "slices is null"));
        if (epoch < FIRST_EPOCH) {
            throw new IllegalArgumentException("epoch is less than 1: " + epoch);
        }
        Set<MemberId> known = Set.copyOf(members);
        for (Slice slice : slices) {
            if (!known.contains(slice.owner())) {
                throw new IllegalArgumentException("owner is not a member: " + slice.owner());
            }
        }
    }

    /**
     * Returns whether a process is a member.
     *
     * @param member the process
     * @return whether it is a member
     */
    public boolean contains(MemberId member) {
        return members.contains(member);
    }

    /**
     * Returns the unresolved former owners of all slices.
     *
     * @return the former owners, some of which may be members
     */
    public Set<MemberId> formerOwners() {
        Set<MemberId> formerOwners = new LinkedHashSet<>();
        for (Slice slice : slices) {
            for (FormerOwner formerOwner : slice.formerOwners()) {
                formerOwners.add(formerOwner.member());
            }
        }
        return formerOwners;
    }

    /**
     * Returns all processes that the view names.
     *
     * @return the members and the unresolved former owners
     */
    public Set<MemberId> processes() {
        Set<MemberId> processes = new LinkedHashSet<>(members);
        processes.addAll(formerOwners());
        return processes;
    }
}
