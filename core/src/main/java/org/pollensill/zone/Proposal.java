package org.pollensill.zone;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiPredicate;

/** Composes the first view of a zone and the successor of a view. */
final class Proposal {

    private Proposal() {}

    /** Returns the first view of a zone. */
    static ZoneView first(List<MemberId> members, int slices, String commitId) {
        List<Optional<MemberId>> none = new ArrayList<>();
        List<Boolean> movable = new ArrayList<>();
        for (int i = 0; i < slices; i++) {
            none.add(Optional.empty());
            movable.add(true);
        }
        List<Slice> result = new ArrayList<>();
        for (MemberId owner : Assignment.assign(none, movable, members)) {
            result.add(new Slice(owner, ZoneView.FIRST_EPOCH, List.of()));
        }
        return new ZoneView(ZoneView.FIRST_EPOCH, commitId, members, result);
    }

    /**
     * Returns the successor of a view.
     *
     * @param view the current view
     * @param members the next members
     * @param gone the processes known to be gone
     * @param resolved whether a former owner is known to have stopped using a slice
     * @param byNonMember whether the proposer is not a member of the current view, so that promises of its members do
     *     not exclude the commit
     * @param commitId identity of the commit
     */
    static ZoneView next(
            ZoneView view,
            List<MemberId> members,
            Set<MemberId> gone,
            BiPredicate<Integer, FormerOwner> resolved,
            boolean byNonMember,
            String commitId) {
        long epoch = view.epoch() + 1;
        List<Optional<MemberId>> owners = new ArrayList<>();
        List<Boolean> movable = new ArrayList<>();
        for (Slice slice : view.slices()) {
            owners.add(Optional.of(slice.owner()));
            movable.add(slice.formerOwners().isEmpty());
        }
        List<MemberId> assigned = Assignment.assign(owners, movable, members);
        List<Slice> slices = new ArrayList<>();
        for (int number = 0; number < view.slices().size(); number++) {
            Slice slice = view.slices().get(number);
            MemberId owner = assigned.get(number);
            List<FormerOwner> formerOwners = new ArrayList<>();
            for (FormerOwner formerOwner : slice.formerOwners()) {
                MemberId member = formerOwner.member();
                // If the owner changes again, the release of the previous owner need not list the work that the earlier
                // owner has in progress. The earlier owner therefore stays in the row until the new owner, which
                // reserves capacity for its work, has proof that it has stopped.
                boolean removable = (owner.equals(slice.owner()) || gone.contains(slice.owner()))
                        && resolved.test(number, formerOwner);
                if (!removable && !member.equals(owner)) {
                    formerOwners.add(formerOwner);
                }
            }
            if (owner.equals(slice.owner())) {
                slices.add(new Slice(owner, slice.sinceEpoch(), formerOwners));
                continue;
            }
            if (!gone.contains(slice.owner())) {
                formerOwners.add(new FormerOwner(slice.owner(), epoch, byNonMember));
            }
            slices.add(new Slice(owner, epoch, formerOwners));
        }
        return new ZoneView(epoch, commitId, members, slices);
    }
}
