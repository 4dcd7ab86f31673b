package org.pollensill.zone;

import java.util.List;
import java.util.Objects;

/**
 * Configuration of a zone member.
 *
 * @param self the process itself
 * @param rowKey key of the view's row
 * @param slices number of slices of the zone
 * @param peers addresses that receive heartbeats until a view is adopted
 * @param timing the periods of the membership protocol
 */
public record ZoneConfig(MemberId self, String rowKey, int slices, List<String> peers, ZoneTiming timing) {

    /**
     * Creates a configuration.
     *
     * @throws NullPointerException if an argument is null
     * @throws IllegalArgumentException if {@code slices} is less than 1
     */
    public ZoneConfig {
        Objects.requireNonNull(self, "self is null");
        Objects.requireNonNull(rowKey, "rowKey is null");
        peers = List.copyOf(Objects.requireNonNull(peers, "peers is null"));
        Objects.requireNonNull(timing, "timing is null");
        if (slices < 1) {
            throw new IllegalArgumentException("slices is less than 1: " + slices);
        }
    }
}
