package org.pollensill.worker;

import java.util.Optional;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.LongRange;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against a lease that is treated as lapsed while its worker still runs the task. */
class WorkerLeasePropertyTest {

    private static final long NANOS_PER_MS = 1_000_000;

    @Property(seed = "7101")
    void shouldNotLapseBeforeItsEndInTheWorkersClock(
            @ForAll @LongRange(min = 0, max = 1_000_000) long readingMs,
            @ForAll @LongRange(min = 0, max = 5_000) long answerDelayMs,
            @ForAll @LongRange(min = 1, max = 120_000) long leaseMs,
            @ForAll @LongRange(min = 0, max = 200_000) long elapsedMs,
            @ForAll @DoubleRange(min = 0.95, max = 1.05) double rate) {
        long takenNs = 7_000 * NANOS_PER_MS;
        long receivedNs = takenNs + answerDelayMs * NANOS_PER_MS;
        long nowNs = receivedNs + elapsedMs * NANOS_PER_MS;
        WorkerClock clock = new WorkerClock(readingMs, receivedNs);
        double workerNowMs = readingMs + (nowNs - takenNs) / 1e6 * rate;
        WorkerLease lease = new WorkerLease(readingMs + leaseMs);
        if (workerNowMs < readingMs + leaseMs) {
            assertFalse(lease.hasLapsed(Optional.of(clock), nowNs));
        }
    }

    @Property(seed = "7102")
    void shouldLapseEventually(@ForAll @LongRange(min = 1, max = 120_000) long leaseMs) {
        WorkerLease lease = new WorkerLease(1_000 + leaseMs);
        long nowNs = WorkerClock.lapseBoundNs(leaseMs) + leaseMs * NANOS_PER_MS / 100 + 100 * NANOS_PER_MS;
        assertTrue(lease.hasLapsed(Optional.of(new WorkerClock(1_000, 0)), nowNs));
        assertFalse(lease.hasLapsed(Optional.empty(), Long.MAX_VALUE / 4), "must not lapse without a clock reading");
    }

    @Property(seed = "7103")
    void shouldNotShortenTheLeaseWhenRenewed(
            @ForAll @LongRange(min = 0) long first, @ForAll @LongRange(min = 0) long second) {
        assertTrue(new WorkerLease(first).renewed(second).untilWorkerClockMs() >= first);
    }
}
