package org.pollensill.runtime.http;

/**
 * Limits of an HTTP client.
 *
 * @param maxConnectionsPerAddress maximum number of open connections per address
 * @param maxQueuedPerAddress maximum number of requests queued for a connection, per address
 * @param connectTimeoutMs maximum time to establish a connection
 * @param idleTimeoutMs time after which an idle connection is closed
 * @param maxResponseBytes maximum size of a response body
 */
public record ClientLimits(
        int maxConnectionsPerAddress,
        int maxQueuedPerAddress,
        int connectTimeoutMs,
        int idleTimeoutMs,
        int maxResponseBytes) {

    /** Limits for connections to the platform and to workers. */
    public static final ClientLimits PLATFORM = new ClientLimits(4, 256, 1_000, 10_000, 64 << 20);

    /**
     * Creates limits.
     *
     * @throws IllegalArgumentException if a limit is out of range
     */
    public ClientLimits {
        if (maxConnectionsPerAddress < 1
                || maxQueuedPerAddress < 0
                || connectTimeoutMs < 1
                || idleTimeoutMs < 1
                || maxResponseBytes < 1) {
            throw new IllegalArgumentException("a limit is out of range");
        }
    }
}
