package org.pollensill.upstream;

import java.util.Objects;

/** Slot of an upstream, held by one request. Guarded by the lock of its {@link SlotTable}. */
public final class Slot {

    private final Upstream upstream;
    private final int kind;
    private final long dispatchedNs;
    /**
     * End of the execution bound, until which the slot stays taken after its connection has closed. Later changes of
     * the bound do not affect it.
     */
    final long executionEndNs;

    boolean held = true;

    Slot(Upstream upstream, int kind, long dispatchedNs, long executionBoundNs) {
        this.upstream = Objects.requireNonNull(upstream, "upstream is null");
        this.kind = kind;
        this.dispatchedNs = dispatchedNs;
        this.executionEndNs = dispatchedNs + executionBoundNs;
    }

    /**
     * Returns the upstream.
     *
     * @return the upstream
     */
    public Upstream upstream() {
        return upstream;
    }

    /**
     * Returns the kind's index in the table.
     *
     * @return the index
     */
    public int kind() {
        return kind;
    }

    /**
     * Returns when the request was dispatched.
     *
     * @return the monotonic time of the dispatch
     */
    public long dispatchedNs() {
        return dispatchedNs;
    }
}
