package org.pollensill.upstream;

import java.util.Arrays;
import java.util.PriorityQueue;
import java.util.function.Consumer;

/** Slots reserved for the requests of former owners, each reservation with an expiry time. */
final class Reservations {

    private record Expiry(long untilNs, Upstream upstream, int kind) {}

    private final PriorityQueue<Expiry> expiries =
            new PriorityQueue<>((a, b) -> Long.compare(a.untilNs - b.untilNs, 0));

    /**
     * Reserves slots. Merges with the present reservation by maximum rather than by sum, since each reservation covers
     * everything that other processes have in progress.
     */
    void reserve(Upstream upstream, int kind, int count, long untilNs) {
        boolean extended = upstream.reservedByKind[kind] > 0;
        upstream.reservedByKind[kind] = Math.max(upstream.reservedByKind[kind], count);
        if (!extended || untilNs - upstream.reservedUntilNs[kind] > 0) {
            upstream.reservedUntilNs[kind] = untilNs;
            expiries.add(new Expiry(untilNs, upstream, kind));
        }
    }

    void clear(Upstream upstream) {
        Arrays.fill(upstream.reservedByKind, 0);
    }

    void expire(long nowNs, Consumer<Upstream> onExpired) {
        while (!expiries.isEmpty() && expiries.peek().untilNs - nowNs <= 0) {
            Expiry expiry = expiries.poll();
            // An extended reservation has a later expiry entry.
            if (expiry.upstream.reservedUntilNs[expiry.kind] - nowNs <= 0) {
                expiry.upstream.reservedByKind[expiry.kind] = 0;
                onExpired.accept(expiry.upstream);
            }
        }
    }
}
