package org.pollensill.runtime.http;

/**
 * Limits of an HTTP server that protect it from oversized and slow requests.
 *
 * @param maxBodyBytes maximum size of a request body
 * @param maxHeaderBytes maximum size of the request headers
 * @param requestTimeoutMs maximum time from the end of a response, or from the start of the connection, to the end
 *     of the next request
 */
public record HttpLimits(int maxBodyBytes, int maxHeaderBytes, int requestTimeoutMs) {

    /** Limits of the listeners for callers. */
    public static final HttpLimits CALLERS = new HttpLimits(1 << 20, 16 << 10, 30_000);

    /** Limits of the listeners for operators. The body limit is higher because settings trees may be large. */
    public static final HttpLimits OPERATORS = new HttpLimits(16 << 20, 16 << 10, 30_000);

    /**
     * Creates limits.
     *
     * @throws IllegalArgumentException if a limit is less than 1
     */
    public HttpLimits {
        if (maxBodyBytes < 1 || maxHeaderBytes < 1 || requestTimeoutMs < 1) {
            throw new IllegalArgumentException("a limit is less than 1");
        }
    }
}
