package org.pollensill.zone;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * Ownership of one slice in a view.
 *
 * @param owner the owner, a member of the view
 * @param sinceEpoch the epoch at which the owner acquired the slice
 * @param formerOwners the unresolved former owners, oldest first
 */
public record Slice(MemberId owner, long sinceEpoch, List<FormerOwner> formerOwners) {

    /**
     * Creates a slice.
     *
     * @throws NullPointerException if an argument is null
     */
    public Slice {
        Objects.requireNonNull(owner, "owner is null");
        formerOwners = List.copyOf(Objects.requireNonNull(formerOwners, "formers is null"));
    }

    /**
     * Returns the entry of a former owner.
     *
     * @param member the member
     * @return its entry, or empty if it is not an unresolved former owner
     */
    public Optional<FormerOwner> formerOwner(MemberId member) {
        for (FormerOwner formerOwner : formerOwners) {
            if (formerOwner.member().equals(member)) {
                return Optional.of(formerOwner);
            }
        }
        return Optional.empty();
    }
}
