package org.pollensill.admission;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * The credit of a coordinator, used up by the jobs that it accepts. A job counts against it until the leader has
 * subtracted the job from the credit that it gives. Without a leader the credit runs down. Times are monotonic
 * milliseconds.
 */
public final class MemoryAccount {

    /** Time after which a job counts no more of which it stayed unknown whether it was stored. */
    static final long UNKNOWN_HOLD_MS = 30_000;

    private static final long NOT_STORED_YET = Long.MAX_VALUE;

    /** A job that the leader may not have subtracted yet. */
    private record Charge(long bytes, long storedAtVersion, long untilMs) {}

    private final Map<String, Charge> charges = new HashMap<>();
    private Optional<MemoryCredit> credit = Optional.empty();
    private long chargedBytes;

    /**
     * Sets the credit as last read.
     *
     * @param latest the credit
     * @param nowMs the time
     */
    public void update(MemoryCredit latest, long nowMs) {
        credit = Optional.of(Objects.requireNonNull(latest, "latest is null"));
        Iterator<Charge> next = charges.values().iterator();
        while (next.hasNext()) {
            Charge charge = next.next();
            if (charge.storedAtVersion() <= latest.asOfVersion() || nowMs >= charge.untilMs()) {
                chargedBytes -= charge.bytes();
                next.remove();
            }
        }
    }

    /**
     * Charges a job if the credit suffices.
     *
     * @param id the job
     * @param bytes its memory
     * @return whether it was charged, now or by an earlier attempt
     */
    public boolean charge(String id, long bytes) {
        if (charges.containsKey(id)) {
            return true;
        }
        if (credit.isEmpty() || chargedBytes + bytes > credit.get().shareBytes()) {
            return false;
        }
        charges.put(id, new Charge(bytes, NOT_STORED_YET, Long.MAX_VALUE));
        chargedBytes += bytes;
        return true;
    }

    /**
     * Records that a job that was charged is stored.
     *
     * @param id the job
     * @param version the version of its row
     */
    public void stored(String id, long version) {
        charges.computeIfPresent(id, (job, charge) -> new Charge(charge.bytes(), version, Long.MAX_VALUE));
    }

    /**
     * Records that it is unknown whether a job that was charged is stored.
     *
     * @param id the job
     * @param nowMs the time
     */
    public void unknown(String id, long nowMs) {
        charges.computeIfPresent(
                id, (job, charge) -> new Charge(charge.bytes(), NOT_STORED_YET, nowMs + UNKNOWN_HOLD_MS));
    }

    /**
     * Records that a job that was charged is not stored.
     *
     * @param id the job
     */
    public void release(String id) {
        Charge released = charges.remove(id);
        if (released != null) {
            chargedBytes -= released.bytes();
        }
    }
}
