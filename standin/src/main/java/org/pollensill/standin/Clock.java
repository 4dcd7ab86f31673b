package org.pollensill.standin;

/** Monotonic clock of the stand-in and of its workers, in milliseconds. */
interface Clock {

    /**
     * Returns the current time.
     *
     * @return milliseconds from an arbitrary origin
     */
    long nowMs();

    /**
     * Returns the system clock, which is near 0 at the time of this call.
     *
     * @return the clock
     */
    static Clock system() {
        long originNs = System.nanoTime();
        return () -> (System.nanoTime() - originNs) / 1_000_000;
    }
}
