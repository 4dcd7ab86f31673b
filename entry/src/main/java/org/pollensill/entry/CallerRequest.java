package org.pollensill.entry;

import java.util.Objects;
import java.util.Optional;

import org.pollensill.contract.RequestDescription;
import org.pollensill.runtime.http.Request;

/**
 * A caller's request with its parsed metadata.
 *
 * @param service the target service
 * @param description ID, kind, caller, idempotence and deadline
 * @param idempotencyKey the caller's idempotency key, empty if there is none
 * @param http the HTTP request to send to the upstream
 */
record CallerRequest(String service, RequestDescription description, Optional<String> idempotencyKey, Request http) {

    CallerRequest {
        Objects.requireNonNull(service, "service is null");
        Objects.requireNonNull(description, "description is null");
        Objects.requireNonNull(idempotencyKey, "idempotencyKey is null");
        Objects.requireNonNull(http, "http is null");
    }
}
