package org.pollensill.zone;

/** Fraction of the limits of a slice that its owner may use. */
public enum Share {
    /** No work may be started. */
    NONE,
    /** Half of each limit, rounded down. */
    HALF,
    /** Each limit in full. */
    FULL;

    /**
     * Applies the share to a limit.
     *
     * @param limit the full limit
     * @return the part that may be used
     */
    public int of(int limit) {
        return switch (this) {
            case NONE -> 0;
            case HALF -> limit / 2;
            case FULL -> limit;
        };
    }

    static Share ofHalves(int halves) {
        if (halves <= 0) {
            return NONE;
        }
        return halves == 1 ? HALF : FULL;
    }
}
