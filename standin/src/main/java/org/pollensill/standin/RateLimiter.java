package org.pollensill.standin;

/** Rate limiter that delays calls beyond a given rate and admits bursts of up to 10 calls without delay. */
final class RateLimiter {

    private final double intervalMs;
    private final double burstMs;
    private double nextMs;

    RateLimiter(int perSecond) {
        this.intervalMs = 1000.0 / perSecond;
        this.burstMs = 10 * intervalMs;
    }

    /** Returns the delay of a call that arrives at the given time. */
    synchronized double delayMs(double nowMs) {
        nextMs = Math.max(nextMs, nowMs - burstMs) + intervalMs;
        return Math.max(0, nextMs - nowMs);
    }
}
