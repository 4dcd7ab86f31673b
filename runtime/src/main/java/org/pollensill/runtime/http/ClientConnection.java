package org.pollensill.runtime.http;

import java.util.Optional;

/**
 * A connection of an HTTP client. All requests on it reach the same process, since it ends with that process. Confined
 * to the event loop of the connection.
 */
public interface ClientConnection {

    /**
     * Returns what an earlier answer on this connection has shown about the process at its other end.
     *
     * @return the identity of the process, empty where it is not known
     */
    Optional<String> peer();

    /**
     * Records the identity of the process at the other end.
     *
     * @param peer the identity
     * @throws NullPointerException if the identity is null
     */
    void identifyPeer(String peer);
}
