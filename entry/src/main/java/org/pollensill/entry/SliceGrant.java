package org.pollensill.entry;

import java.util.Objects;

import org.pollensill.upstream.SlotAllowance;
import org.pollensill.zone.Reservation;

/**
 * Grant to use the upstreams of a slice.
 *
 * @param allowance the share of their limits that may be used
 * @param reservation slots that are reserved for work of former owners
 */
record SliceGrant(SlotAllowance allowance, Reservation reservation) {

    static final SliceGrant NONE = new SliceGrant(SlotAllowance.NONE, Reservation.NONE);

    SliceGrant {
        Objects.requireNonNull(allowance, "allowance is null");
        Objects.requireNonNull(reservation, "reservation is null");
    }

    boolean isOwned() {
        return allowance != SlotAllowance.NONE;
    }
}
