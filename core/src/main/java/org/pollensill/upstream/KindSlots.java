package org.pollensill.upstream;

import java.util.Objects;

/** Slot counts of one kind, summed over all upstreams of a table. */
final class KindSlots {

    final UpstreamSet usable;
    KindLimits limits;
    int free;
    int used;

    KindSlots(int kind, KindLimits limits) {
        this.usable = new UpstreamSet(kind);
        this.limits = Objects.requireNonNull(limits, "limits is null");
    }
}
