package org.pollensill.zone;

import java.util.Objects;

/**
 * The right of a process to use a slice at a point in time.
 *
 * @param share the share of the limits
 * @param epoch the epoch at which this process acquired the slice, 0 if it is not the owner
 * @param confirmed whether the view is confirmed to be the latest
 * @param formerOwnersResolved whether all former owners have released the slice or are known to be gone
 */
public record SliceRight(Share share, long epoch, boolean confirmed, boolean formerOwnersResolved) {

    /** The right to a slice that this process does not own. */
    public static final SliceRight NONE = new SliceRight(Share.NONE, 0, false, false);

    /**
     * Creates a right.
     *
     * @throws NullPointerException if {@code share} is null
     */
    public SliceRight {
        Objects.requireNonNull(share, "share is null");
    }

    /**
     * Returns whether the process owns the slice in its view.
     *
     * @return whether it is the owner
     */
    public boolean isOwner() {
        return epoch > 0;
    }
}
