package org.pollensill.standin;

/** Faults of one upstream, each active until a given time or for a number of answers. */
final class UpstreamFaults {

    private long hangUntilMs;
    private long slowUntilMs;
    private double slowFactor = 1;
    private int delayedAnswers;
    private long delayUntilMs;
    private long answerDelayMs;
    private int truncatedAnswers;
    private int mismatchedAnswers;
    private long leavingSinceMs = -1;
    private boolean refusesWhenLeaving;

    synchronized void hangUntil(long untilMs) {
        hangUntilMs = untilMs;
    }

    synchronized void slowUntil(long untilMs, double factor) {
        slowUntilMs = untilMs;
        slowFactor = factor;
    }

    synchronized void delayAnswers(int answers, long untilMs, long delayMs) {
        delayedAnswers = answers;
        delayUntilMs = untilMs;
        answerDelayMs = delayMs;
    }

    synchronized void truncateAnswers(int answers) {
        truncatedAnswers = answers;
    }

    synchronized void mismatchAnswers(int answers) {
        mismatchedAnswers = answers;
    }

    synchronized void leave(long nowMs, boolean refuses) {
        leavingSinceMs = nowMs;
        refusesWhenLeaving = refuses;
    }

    synchronized void clear() {
        hangUntilMs = 0;
        slowUntilMs = 0;
        delayedAnswers = 0;
        delayUntilMs = 0;
        truncatedAnswers = 0;
        mismatchedAnswers = 0;
        leavingSinceMs = -1;
    }

    synchronized boolean isHanging(long nowMs) {
        return nowMs < hangUntilMs;
    }

    synchronized double slowFactor(long nowMs) {
        return nowMs < slowUntilMs ? slowFactor : 1;
    }

    synchronized double takeAnswerDelayMs(long nowMs) {
        if (nowMs < delayUntilMs) {
            return answerDelayMs;
        }
        if (delayedAnswers > 0) {
            delayedAnswers--;
            return answerDelayMs;
        }
        return 0;
    }

    synchronized boolean takeTruncation() {
        return truncatedAnswers > 0 && truncatedAnswers-- > 0;
    }

    synchronized boolean takeMismatch() {
        return mismatchedAnswers > 0 && mismatchedAnswers-- > 0;
    }

    synchronized boolean isLeaving() {
        return leavingSinceMs >= 0;
    }

    synchronized long leavingSinceMs() {
        return leavingSinceMs;
    }

    synchronized boolean refusesWhenLeaving() {
        return refusesWhenLeaving;
    }
}
