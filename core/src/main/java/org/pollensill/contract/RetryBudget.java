package org.pollensill.contract;

/**
 * Limits retries and hedges to a share of the successes, so that they cannot multiply the load on a failing service.
 */
public final class RetryBudget {

    /** Number of successes whose share may accumulate, which limits a burst of retries. */
    private static final int MAX_SAVED_SUCCESSES = 1000;

    private double perSuccess;
    private double balance;

    /**
     * Creates an empty budget, which successes fill.
     *
     * @param percent retries and hedges allowed per hundred successes
     * @throws IllegalArgumentException if {@code percent} is negative
     */
    public RetryBudget(int percent) {
        setPercent(percent);
    }

    /**
     * Changes the percentage of the successes.
     *
     * @param percent retries and hedges allowed per hundred successes
     * @throws IllegalArgumentException if {@code percent} is negative
     */
    public void setPercent(int percent) {
        if (percent < 0) {
            throw new IllegalArgumentException("percent is negative: " + percent);
        }
        perSuccess = percent / 100.0;
        balance = Math.min(balance, perSuccess * MAX_SAVED_SUCCESSES);
    }

    /** Adds the share of one success to the budget. */
    public void recordSuccess() {
        balance = Math.min(balance + perSuccess, perSuccess * MAX_SAVED_SUCCESSES);
    }

    /**
     * Acquires one retry or hedge from the budget.
     *
     * @return whether the budget allows it
     */
    public boolean tryAcquire() {
        // Tolerates the rounding error of a sum of shares such as 0.1, which is slightly less than 1.
        if (balance < 1 - 1e-9) {
            return false;
        }
        balance -= 1;
        return true;
    }
}
