package org.pollensill.entry;

import java.util.Objects;

import org.pollensill.runtime.zone.ZoneAgent;
import org.pollensill.upstream.SlotAllowance;
import org.pollensill.zone.Assignment;
import org.pollensill.zone.SliceRight;

/** Derives ownership from the zone's view. A slice is a group of upstreams whose names hash to the same number. */
final class ZoneOwnership implements UpstreamOwnership {

    /** Number of slices per zone. High enough to spread upstreams evenly over any expected number of entry hosts. */
    static final int SLICES = 64;

    private final ZoneAgent agent;

    ZoneOwnership(ZoneAgent agent) {
        this.agent = Objects.requireNonNull(agent, "agent is null");
    }

    @Override
    public int slices() {
        return SLICES;
    }

    @Override
    public int slice(String upstream) {
        return Assignment.sliceOf(upstream, SLICES);
    }

    @Override
    public SliceGrant grant(int slice, long nowNs) {
        SliceRight right = agent.right(slice, nowNs);
        return switch (right.share()) {
            case FULL -> new SliceGrant(SlotAllowance.FULL, agent.reservation(slice));
            case HALF -> new SliceGrant(SlotAllowance.HALF, agent.reservation(slice));
            case NONE -> SliceGrant.NONE;
        };
    }
}
