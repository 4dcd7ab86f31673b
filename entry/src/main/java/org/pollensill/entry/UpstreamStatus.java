package org.pollensill.entry;

import java.util.Objects;

import org.pollensill.platform.Host;
import org.pollensill.upstream.SlotAllowance;

/**
 * Status of an upstream, for operators.
 *
 * @param name the upstream's name
 * @param service the service it belongs to
 * @param allowance share of its limits that this process may use
 * @param hostState last state in the host list
 */
record UpstreamStatus(String name, String service, SlotAllowance allowance, Host.State hostState) {

    UpstreamStatus {
        Objects.requireNonNull(name, "name is null");
        Objects.requireNonNull(service, "service is null");
        Objects.requireNonNull(allowance, "allowance is null");
        Objects.requireNonNull(hostState, "hostState is null");
    }
}
