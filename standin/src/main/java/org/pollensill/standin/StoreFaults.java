package org.pollensill.standin;

/** Faults of the table service and the object store. */
final class StoreFaults {

    private long downUntilMs;
    private long slowUntilMs;
    private long extraDelayMs;
    private int answersToDrop;
    private String dropKeyPrefix = "";

    synchronized void downUntil(long untilMs) {
        downUntilMs = untilMs;
    }

    synchronized void slowUntil(long untilMs, long delayMs) {
        slowUntilMs = untilMs;
        extraDelayMs = delayMs;
    }

    /** Drops the answers of the next commits that write a key with the prefix. */
    synchronized void dropAnswers(int answers, String prefix) {
        answersToDrop = answers;
        dropKeyPrefix = prefix;
    }

    synchronized void clear() {
        downUntilMs = 0;
        slowUntilMs = 0;
        answersToDrop = 0;
    }

    synchronized boolean isDown(long nowMs) {
        return nowMs < downUntilMs;
    }

    synchronized double delayMs(long nowMs) {
        return nowMs < slowUntilMs ? extraDelayMs : 0;
    }

    synchronized boolean takeDroppedAnswer(Iterable<String> keys) {
        if (answersToDrop == 0) {
            return false;
        }
        for (String key : keys) {
            if (key.startsWith(dropKeyPrefix)) {
                answersToDrop--;
                return true;
            }
        }
        return false;
    }
}
