package org.pollensill.runner;

import java.util.Objects;

/**
 * Network address and identity of the runner that an order is sent to.
 *
 * @param id the runner's identity; any other runner at the address refuses the order
 * @param address host:port
 */
public record RunnerAddress(String id, String address) {

    /**
     * Creates an address.
     *
     * @throws NullPointerException if an argument is null
     */
    public RunnerAddress {
        Objects.requireNonNull(id, "id is null");
        Objects.requireNonNull(address, "address is null");
    }
}
