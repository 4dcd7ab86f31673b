package org.pollensill.zone;

import java.util.List;
import java.util.Objects;
import java.util.OptionalLong;

/**
 * Capacity of a slice that its owner reserves for work dispatched by former owners.
 *
 * @param lastDispatchNs the latest time, on the owner's clock, at which a former owner that sent no release may have
 *     dispatched work; empty if there is none
 * @param running the work listed in releases
 * @param releasedNs when the latest release arrived; empty if there is none
 */
public record Reservation(OptionalLong lastDispatchNs, List<RunningWork> running, OptionalLong releasedNs) {

    /** The reservation of a slice without former owners. */
    public static final Reservation NONE = new Reservation(OptionalLong.empty(), List.of(), OptionalLong.empty());

    /**
     * Creates a reservation.
     *
     * @throws NullPointerException if an argument is null
     */
    public Reservation {
        Objects.requireNonNull(lastDispatchNs, "lastDispatchNs is null");
        running = List.copyOf(Objects.requireNonNull(running, "running is null"));
        Objects.requireNonNull(releasedNs, "releasedNs is null");
    }
}
