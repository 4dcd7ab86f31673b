package org.pollensill.retry;

/** Token bucket that is filled by first attempts and, slowly, by time. */
final class TokenRetryBudget implements RetryBudget {

    private static final double MS_PER_S = 1_000;

    private final double share;
    private final double perSecond;
    private final int maxSaved;
    private double tokens;
    private long refilledAtMs = Long.MIN_VALUE;

    TokenRetryBudget(double share, double perSecond, int maxSaved) {
        if (!(share >= 0) || !(perSecond >= 0) || maxSaved < 1) {
            throw new IllegalArgumentException(
                    "invalid share, rate or maximum: " + share + ", " + perSecond + ", " + maxSaved);
        }
        this.share = share;
        this.perSecond = perSecond;
        this.maxSaved = maxSaved;
        this.tokens = maxSaved;
    }

    @Override
    public void firstAttempt() {
        tokens = Math.min(maxSaved, tokens + share);
    }

    @Override
    public boolean tryRepeat(long nowMs) {
        if (refilledAtMs != Long.MIN_VALUE) {
            tokens = Math.min(maxSaved, tokens + perSecond * Math.max(0, nowMs - refilledAtMs) / MS_PER_S);
        }
        refilledAtMs = Math.max(refilledAtMs, nowMs);
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
