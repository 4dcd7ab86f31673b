package org.pollensill.contract;

import org.pollensill.upstream.KindLimits;

/**
 * Computes how long a request may occupy a slot of its upstream. An upstream measures the execution bound from the
 * arrival of the request, on its own clock. Without a margin the slot of a hanging request was freed a millisecond
 * before the upstream had stopped working on it.
 */
final class HoldTime {

    private static final long NS_PER_MS = 1_000_000;
    private static final double MAX_CLOCK_RATE_RATIO = 1.05;

    /** Maximum time between the dispatch decision and the arrival of the request at the upstream. */
    private static final long DELIVERY_MARGIN_NS = 100 * NS_PER_MS;

    private HoldTime() {}

    /** Returns the maximum time from the dispatch to the end of the request, on the clock of this process. */
    static long maxHoldNs(KindContract kind) {
        return (long) (kind.executionBoundMs() * NS_PER_MS * MAX_CLOCK_RATE_RATIO) + DELIVERY_MARGIN_NS;
    }

    /** Returns the slot limits of a kind. */
    static KindLimits limits(KindContract kind) {
        return new KindLimits(kind.slotsPerUpstreamCap(), maxHoldNs(kind));
    }
}
