package org.pollensill.zone;

import java.util.Optional;
import java.util.OptionalLong;

/** Schedules the reads of the view's row. At most one read is in progress. */
final class ReadSchedule {

    /** The interval doubles with each consecutive failure, up to four times the configured one. */
    private static final int MAX_BACKOFF_SHIFT = 2;

    private final MemberId self;
    private final ZoneTiming timing;

    private long readId;
    private boolean inProgress;
    private boolean requested;
    private int failures;
    private OptionalLong lastSentNs = OptionalLong.empty();

    ReadSchedule(MemberId self, ZoneTiming timing) {
        this.self = self;
        this.timing = timing;
    }

    /** Requests a read as soon as the interval between reads permits. */
    void request() {
        requested = true;
    }

    /** The first available member reads on behalf of all; the others read only if its reads do not confirm them. */
    boolean isDue(boolean confirmed, Optional<ZoneView> view, FailureDetector failureDetector, long nowNs) {
        if (requested || view.isEmpty() || !confirmed) {
            return true;
        }
        for (MemberId member : view.get().members()) {
            if (member.equals(self)) {
                return true;
            }
            if (!failureDetector.isSuspected(member, nowNs) && !failureDetector.isGone(member)) {
                return false;
            }
        }
        return false;
    }

    /** Returns whether a read may be sent: none is in progress and the interval since the last one has passed. */
    boolean isFree(long nowNs) {
        if (lastSentNs.isEmpty()) {
            return true;
        }
        long sinceNs = nowNs - lastSentNs.getAsLong();
        if (inProgress && sinceNs >= timing.answerTimeoutNs()) {
            inProgress = false;
            failures++;
        }
        return !inProgress && sinceNs >= timing.readIntervalNs() << Math.min(failures, MAX_BACKOFF_SHIFT);
    }

    long start(long nowNs) {
        readId++;
        inProgress = true;
        requested = false;
        lastSentNs = OptionalLong.of(nowNs);
        return readId;
    }

    /** Completes a read. Returns when it was sent, or empty if it has timed out. */
    OptionalLong complete(long id, boolean succeeded) {
        if (id != readId || !inProgress) {
            return OptionalLong.empty();
        }
        inProgress = false;
        failures = succeeded ? 0 : failures + 1;
        return lastSentNs;
    }
}
