package org.pollensill.admission;

import java.util.Objects;
import java.util.random.RandomGenerator;

/**
 * When callers come back that are turned away since the store is away. An outage that has lasted for a time is expected
 * to last as long again; a caller thus comes back at growing intervals and still has tries when the store is back, and
 * callers of different moments do not come in one second.
 */
public final class OutageDelay {

    private static final double MIN_FACTOR = 0.5;
    private static final double MAX_FACTOR = 1.5;
    private static final int MAX_RETRY_AFTER_S = 8;
    private static final double MS_PER_S = 1_000;

    private final RandomGenerator random;

    /**
     * Creates a delay.
     *
     * @param random spreads the return of callers
     */
    public OutageDelay(RandomGenerator random) {
        this.random = Objects.requireNonNull(random, "random is null");
    }

    /**
     * Returns after which time a caller should come back: at most half of what it still waits, so that it has two tries
     * more.
     *
     * @param outageMs time for which the store has been away, in milliseconds
     * @param callerWaitsMs time for which the caller still waits, in milliseconds
     * @return the time in seconds, from 1 to 8
     */
    public int retryAfterS(long outageMs, long callerWaitsMs) {
        double factor = MIN_FACTOR + random.nextDouble() * (MAX_FACTOR - MIN_FACTOR);
        long seconds = Math.min(Math.round(factor * outageMs / MS_PER_S), (long) (callerWaitsMs / 2 / MS_PER_S));
        return (int) Math.max(1, Math.min(MAX_RETRY_AFTER_S, seconds));
    }
}
