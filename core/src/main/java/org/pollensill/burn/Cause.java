package org.pollensill.burn;

/**
 * Most likely reason why a request consumed error budget. New causes are added at the end, since stored counts refer to
 * the ordinal.
 */
public enum Cause {
    /** Unknown. */
    OTHER,
    /** The request rate exceeds the capacity of the fleet. */
    FLOOD,
    /** Batch work on the same machines slows down the upstreams. */
    NOISY_COLOCATION,
    /** An upstream hangs, fails or is leaving. */
    UPSTREAM,
    /** Slots are reserved or halved after a change of ownership. */
    TAKEOVER,
    /** The store is unavailable or slow. */
    STORE,
    /** The link between regions is saturated or interrupted. */
    LINK,
    /** The caller cancelled the request, or sent one that cannot be served. */
    CALLER
}
