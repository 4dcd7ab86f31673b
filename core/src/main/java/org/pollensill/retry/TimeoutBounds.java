package org.pollensill.retry;

/**
 * Bounds of a timeout that follows the measured time to an answer.
 *
 * @param minMs the minimum timeout
 * @param initialMs the timeout before the first measurement
 * @param maxMs the maximum timeout
 */
public record TimeoutBounds(long minMs, long initialMs, long maxMs) {

    /**
     * Creates bounds.
     *
     * @throws IllegalArgumentException if the bounds are not positive or not in ascending order
     */
    public TimeoutBounds {
        if (minMs <= 0 || initialMs < minMs || maxMs < initialMs) {
            throw new IllegalArgumentException(
                    "timeouts must be positive and ascending: " + minMs + ", " + initialMs + ", " + maxMs);
        }
    }

    long clamp(double timeoutMs) {
        return Math.round(Math.max(minMs, Math.min(maxMs, timeoutMs)));
    }
}
