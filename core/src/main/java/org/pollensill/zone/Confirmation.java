package org.pollensill.zone;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Confirms that the view of this process is the latest one, either by a recent read of the row or by valid promises of
 * all other members. A promise states that the member has no commit in progress and will send none while the promise is
 * valid, so valid promises of all members prove that no member has replaced the view.
 */
final class Confirmation {

    private final MemberId self;
    private final ZoneTiming timing;
    private final Map<MemberId, Long> promisedUntilNs = new HashMap<>();
    /** Members that terminated while their promise was valid and that therefore have no commit in progress. */
    private final Set<MemberId> goneUnderPromise = new HashSet<>();

    private OptionalLong lastReadSentNs = OptionalLong.empty();

    Confirmation(MemberId self, ZoneTiming timing) {
        this.self = self;
        this.timing = timing;
    }

    /**
     * Discards the promises, which were made for the previous view. An earlier read stays valid: the row held no view
     * later than this one when that read was sent.
     */
    void viewAdopted(OptionalLong sentNs) {
        sentNs.ifPresent(this::recordRead);
        promisedUntilNs.clear();
    }

    /** Records that the row held no later view when a read was sent. */
    void recordRead(long sentNs) {
        if (lastReadSentNs.isEmpty() || sentNs > lastReadSentNs.getAsLong()) {
            lastReadSentNs = OptionalLong.of(sentNs);
        }
    }

    /**
     * Records the read age and the promise that another process with the same view reports. Both are counted from the
     * sending of the heartbeat, so the latency of the reply cannot extend them.
     */
    void recordReply(HeartbeatReply reply, long sentNs) {
        reply.readAgeMs()
                .ifPresent(ageMs -> recordRead(sentNs - ZoneTiming.withMaxClockDrift(ageMs * ZoneTiming.NS_PER_MS)));
        if (reply.promiseMs() > 0) {
            recordPromise(
                    reply.from(),
                    sentNs + Math.min(reply.promiseMs() * ZoneTiming.NS_PER_MS, timing.confirmationValidityNs()));
        }
    }

    private void recordPromise(MemberId member, long untilNs) {
        promisedUntilNs.merge(member, untilNs, Math::max);
    }

    /** Records that a member has terminated. */
    void memberGone(MemberId member, long nowNs) {
        if (promisedUntilNs.getOrDefault(member, Long.MIN_VALUE) > nowNs) {
            goneUnderPromise.add(member);
        }
    }

    /** Returns the age of the latest read, or empty if there is none. */
    OptionalLong readAgeNs(long nowNs) {
        return lastReadSentNs.isEmpty() ? OptionalLong.empty() : OptionalLong.of(nowNs - lastReadSentNs.getAsLong());
    }

    boolean isReadWithin(long ageNs, long nowNs) {
        return lastReadSentNs.isPresent() && nowNs - lastReadSentNs.getAsLong() < ageNs;
    }

    /**
     * Returns whether a view is confirmed.
     *
     * @param settled whether this process has no commit in progress and has seen no later view. Without this condition,
     *     the only member of a view would stay confirmed after its own commit, whose answer was lost, gave slices away.
     */
    boolean isConfirmed(ZoneView view, boolean settled, long nowNs) {
        if (isReadWithin(timing.confirmationValidityNs(), nowNs)) {
            return true;
        }
        if (!settled) {
            return false;
        }
        for (MemberId member : view.members()) {
            if (!member.equals(self)
                    && !goneUnderPromise.contains(member)
                    && promisedUntilNs.getOrDefault(member, Long.MIN_VALUE) <= nowNs) {
                return false;
            }
        }
        return true;
    }
}
