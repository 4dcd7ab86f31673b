package org.pollensill.link;

import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against requests that saturate the link, delay control traffic or displace more urgent requests. */
class LinkBudgetTest {

    private static final long MS = 1_000_000;

    /** 2.5 MB/s, of which 10% is reserved for control, shared by 2 entry hosts. */
    private final LinkBudget budget = LinkBudget.of(2_500_000, 10, 2, 0);

    @Property(tries = 300, seed = "20")
    void shouldLimitRequestsToTheRateNotReservedForControl(@ForAll long seed) {
        Random random = new Random(seed);
        LinkBudget shared = LinkBudget.of(2_500_000, 10, 2, 0);
        LinkClass[] classes = LinkClass.values();
        long nowNs = 0;
        long sentBytes = 0;
        for (int i = 0; i < 2000; i++) {
            nowNs += random.nextLong(2 * MS);
            LinkClass traffic = classes[1 + random.nextInt(3)];
            int bytes = 1 + random.nextInt(random.nextInt(10) == 0 ? 300_000 : 5000);
            sentBytes += shared.tryAcquire(traffic, bytes, nowNs) ? bytes : 0;
            if (random.nextInt(10) == 0) {
                shared.recordControl(500, nowNs);
            }
            // The largest message may leave a debt of its size.
            double allowedBytes = 1_125_000 * (nowNs / 1e9 + 0.1) + 300_000;
            assertTrue(sentBytes <= allowedBytes, sentBytes + " bytes sent, " + allowedBytes + " allowed");
        }
    }

    @Test
    void shouldAdmitUrgentRequestsWhenBulkSaturatesTheLink() {
        int urgentAdmitted = 0;
        for (int ms = 0; ms < 1000; ms++) {
            while (budget.tryAcquire(LinkClass.BULK, 1000, ms * MS)) {
                assertTrue(budget.sentBytes(LinkClass.BULK) < 3_000_000);
            }
            urgentAdmitted += budget.tryAcquire(LinkClass.URGENT, 1000, ms * MS) ? 1 : 0;
        }
        assertEquals(1000, urgentAdmitted);
    }

    @Test
    void shouldRejectBulkWhenUrgentRequestsSaturateTheLink() {
        long bulkBytes = 0;
        for (int ms = 0; ms < 2000; ms++) {
            while (budget.tryAcquire(LinkClass.URGENT, 1000, ms * MS)) {
                assertTrue(budget.sentBytes(LinkClass.URGENT) < 3_000_000);
            }
            bulkBytes += budget.tryAcquire(LinkClass.BULK, 1000, ms * MS) ? 1000 : 0;
        }
        assertEquals(0, bulkBytes);
        assertTrue(budget.sentBytes(LinkClass.URGENT) >= 2_200_000);
    }

    @Test
    void shouldChargeControlToOtherClassesOnlyBeyondItsReservedShare() {
        for (int ms = 0; ms < 1000; ms++) {
            budget.recordControl(100, ms * MS);
        }
        assertTrue(budget.canAcquire(LinkClass.URGENT, 110_000, 1000 * MS));
        budget.recordControl(130_000, 1000 * MS);
        assertFalse(budget.canAcquire(LinkClass.URGENT, 1000, 1000 * MS));
        assertTrue(budget.canAcquire(LinkClass.URGENT, 1000, 1020 * MS));
    }

    @Test
    void shouldAdmitAnOversizedMessageOnlyWhenTheBucketIsFull() {
        assertTrue(budget.tryAcquire(LinkClass.URGENT, 200_000, 0));
        assertFalse(budget.tryAcquire(LinkClass.URGENT, 200_000, 90 * MS));
        assertTrue(budget.tryAcquire(LinkClass.URGENT, 200_000, 200 * MS));
    }

    @Test
    void shouldAdmitOnlyControlWhenTheRateIsZero() {
        budget.update(0, 10, 2, 0);
        assertFalse(budget.tryAcquire(LinkClass.URGENT, 1, 1000 * MS));
        assertTrue(budget.tryAcquire(LinkClass.CONTROL, 1, 1000 * MS));
    }
}
