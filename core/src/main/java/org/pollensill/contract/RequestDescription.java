package org.pollensill.contract;

import java.util.Objects;

/**
 * Scheduling attributes of a request, without its body.
 *
 * @param requestId id that the upstream must return with its answer
 * @param kind name of the kind of work
 * @param caller name of the caller
 * @param idempotent whether the request may run more than once
 * @param deadline time by which the caller needs the answer
 */
public record RequestDescription(String requestId, String kind, String caller, boolean idempotent, Deadline deadline) {

    /**
     * Creates a description.
     *
     * @throws NullPointerException if an argument is null
     */
    public RequestDescription {
        Objects.requireNonNull(requestId, "requestId is null");
        Objects.requireNonNull(kind, "kind is null");
        Objects.requireNonNull(caller, "caller is null");
        Objects.requireNonNull(deadline, "deadline is null");
    }
}
