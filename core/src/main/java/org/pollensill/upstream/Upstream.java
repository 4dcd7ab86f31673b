package org.pollensill.upstream;

import java.util.Arrays;
import java.util.Objects;

/**
 * State of one back end at its owner. Guarded by the lock of its {@link SlotTable}, which alone changes slots, state,
 * allowance and connections.
 */
public final class Upstream {

    private final String name;
    private final LatencyEstimate latency = new LatencyEstimate();

    final int slots;
    SlotAllowance allowance = SlotAllowance.FULL;
    UpstreamState state = UpstreamState.LIVE;
    /** Slots that the state permits; fewer than {@code slots} during slow start. */
    int stateSlots;

    int used;
    int free;
    int connections;
    boolean probeConnection;

    int[] usedByKind;
    int[] freeByKind;
    int[] reservedByKind;
    long[] reservedUntilNs;
    /** Position in each kind's set of usable upstreams; -1 if absent. */
    int[] positionByKind;

    int consecutiveFailures;
    int windowSamples;
    int slowWindows;
    long nextProbeNs;
    boolean accepting;
    boolean monitored;
    boolean probeInFlight;
    boolean listedLeaving;
    long stateSinceNs;

    Upstream(String name, int slots, int kinds) {
        this.name = Objects.requireNonNull(name, "name is null");
        this.slots = slots;
        this.stateSlots = slots;
        usedByKind = new int[kinds];
        freeByKind = new int[kinds];
        reservedByKind = new int[kinds];
        reservedUntilNs = new long[kinds];
        positionByKind = new int[kinds];
        Arrays.fill(positionByKind, -1);
    }

    /**
     * Returns the name.
     *
     * @return the name
     */
    public String name() {
        return name;
    }

    /**
     * Returns the state.
     *
     * @return the state
     */
    public UpstreamState state() {
        return state;
    }

    /**
     * Returns the part of the limits that this owner may use.
     *
     * @return the allowance
     */
    public SlotAllowance allowance() {
        return allowance;
    }

    /**
     * Returns the number of slots that this owner's requests hold, including those whose caller has timed out.
     *
     * @return the number of slots
     */
    public int used() {
        return used;
    }

    /**
     * Returns the number of slots that new requests may take.
     *
     * @return the number of slots
     */
    public int free() {
        return free;
    }

    /**
     * Returns the number of slots reserved for former owners.
     *
     * @return the number of slots, at most all slots of the upstream
     */
    public int reserved() {
        int sum = 0;
        for (int reserved : reservedByKind) {
            sum += reserved;
        }
        return Math.min(slots, sum);
    }

    /**
     * Returns the number of open connections, including the one for probes.
     *
     * @return the number of connections
     */
    public int connections() {
        return connections + (probeConnection ? 1 : 0);
    }

    /**
     * Returns the latency estimate.
     *
     * @return the estimate
     */
    public LatencyEstimate latency() {
        return latency;
    }

    /**
     * Returns the load by which upstreams are compared: requests in progress plus one, times the latency.
     *
     * @return the load, lower is better
     */
    public double load() {
        return (used + 1) * latency.withTail();
    }

    /**
     * Returns the number of slots of a kind that this owner's requests hold or that are reserved for former owners.
     *
     * @param kind the kind's index
     * @return the number of slots
     */
    public int inProgress(int kind) {
        return usedByKind[kind] + reservedByKind[kind];
    }

    boolean isWithin(int kind, int kindCap, SlotAllowance allowed) {
        int cap = Math.min(kindCap, slots);
        return allowed != SlotAllowance.NONE
                && allowed.free(slots, used, reserved()) >= 0
                && allowed.free(cap, usedByKind[kind], reservedByKind[kind]) >= 0;
    }

    boolean isInUse() {
        return state == UpstreamState.LIVE || state == UpstreamState.SLOW_START;
    }

    boolean isIdle() {
        return used == 0 && connections() == 0 && reserved() == 0;
    }

    void resizeKinds(int kinds) {
        int oldKinds = positionByKind.length;
        usedByKind = Arrays.copyOf(usedByKind, kinds);
        freeByKind = Arrays.copyOf(freeByKind, kinds);
        reservedByKind = Arrays.copyOf(reservedByKind, kinds);
        reservedUntilNs = Arrays.copyOf(reservedUntilNs, kinds);
        positionByKind = Arrays.copyOf(positionByKind, kinds);
        Arrays.fill(positionByKind, oldKinds, kinds, -1);
    }
}
