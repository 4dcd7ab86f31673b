package org.pollensill.retry;

/**
 * Limits the calls that are repeated to a share of the first attempts and a low constant rate, so that repeats cannot
 * keep up the overload that caused them. The constant rate repairs losses when nothing new is called.
 */
public interface RetryBudget {

    /**
     * Returns a budget that starts with all repeats that it can save.
     *
     * @param share number of repeats per first attempt, such as 0.2
     * @param perSecond number of repeats per second without first attempts
     * @param maxSaved maximum number of saved repeats
     * @return the budget
     * @throws IllegalArgumentException if a rate is negative or fewer than one repeat can be saved
     */
    static RetryBudget of(double share, double perSecond, int maxSaved) {
        return new TokenRetryBudget(share, perSecond, maxSaved);
    }

    /** Records a first attempt. */
    void firstAttempt();

    /**
     * Takes one repeat from the budget.
     *
     * @param nowMs monotonic time in milliseconds
     * @return whether the call may be repeated
     */
    boolean tryRepeat(long nowMs);
}
