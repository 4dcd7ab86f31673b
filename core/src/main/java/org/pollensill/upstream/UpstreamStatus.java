package org.pollensill.upstream;

import java.util.Objects;

/**
 * Status of an upstream at its owner, for status pages and metrics.
 *
 * @param name the upstream's name
 * @param state its state
 * @param allowance part of its limits that the owner may use
 * @param usedSlots slots that the owner's requests hold
 * @param freeSlots slots that new requests may take
 * @param reservedSlots slots reserved for former owners
 * @param connections open connections
 * @param latencyRatio mean ratio of latency to the usual latency
 */
public record UpstreamStatus(
        String name,
        UpstreamState state,
        SlotAllowance allowance,
        int usedSlots,
        int freeSlots,
        int reservedSlots,
        int connections,
        double latencyRatio) {

    /**
     * Creates a status.
     *
     * @throws NullPointerException if an argument is null
     */
    public UpstreamStatus {
        Objects.requireNonNull(name, "name is null");
        Objects.requireNonNull(state, "state is null");
        Objects.requireNonNull(allowance, "allowance is null");
    }

    static UpstreamStatus of(Upstream upstream) {
        return new UpstreamStatus(
                upstream.name(),
                upstream.state(),
                upstream.allowance(),
                upstream.used(),
                upstream.free(),
                upstream.reserved(),
                upstream.connections(),
                upstream.latency().mean());
    }
}
