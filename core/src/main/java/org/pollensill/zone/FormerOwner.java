package org.pollensill.zone;

import java.util.Objects;

/**
 * A former owner of a slice that has not released the slice and is not known to be gone.
 *
 * @param member the former owner
 * @param lostEpoch the epoch at which it lost the slice
 * @param mayUseFullLimit whether it may still use the whole limits. The promises of the former owner's view do not
 *     prevent a commit by a non-member, so the former owner may stay confirmed after such a commit.
 */
public record FormerOwner(MemberId member, long lostEpoch, boolean mayUseFullLimit) {

    /**
     * Creates a former owner.
     *
     * @throws NullPointerException if {@code member} is null
     */
    public FormerOwner {
        Objects.requireNonNull(member, "member is null");
    }

    /**
     * Returns how many halves of the slice's limits the former owner may still use.
     *
     * @return 1 or 2
     */
    public int usableHalves() {
        return mayUseFullLimit ? 2 : 1;
    }
}
