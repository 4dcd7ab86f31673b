package org.pollensill.worker;

import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against overcommitted workers, faulty workers that fail job after job, and estimates that ignore samples. */
class WorkerModelTest {

    private static final long SECOND_NS = 1_000_000_000L;

    @Property(seed = "7201", tries = 200)
    void shouldNeverAllocateMoreThanTheHostHas(@ForAll long seed) {
        Random random = new Random(seed);
        Resources total = new Resources(8_000, 8_000, 2);
        Capacity capacity = Capacity.of(total);
        for (int i = 0; i < 200; i++) {
            String holder = "t" + random.nextInt(20);
            switch (random.nextInt(4)) {
                case 0 -> capacity.release(holder);
                case 1 -> capacity.limitTo(total.percent(random.nextInt(150)));
                default ->
                    capacity.tryAllocate(
                            holder, new Resources(random.nextInt(4_000), random.nextInt(4_000), random.nextInt(2)));
            }
            assertTrue(capacity.allocated().fitsIn(total), "allocated " + capacity.allocated());
        }
    }

    @Nested
    class QuarantineAfterFailures {

        private final Quarantine quarantine = Quarantine.empty();
        private final Random random = new Random(1);

        @Test
        void shouldQuarantineAfterThreeDifferentJobsFailInARow() {
            assertFalse(quarantine.failed("a", 0, random));
            assertFalse(quarantine.failed("a", 0, random), "the job itself may be faulty");
            assertFalse(quarantine.failed("b", 0, random));
            assertTrue(quarantine.failed("c", 0, random));
            assertFalse(quarantine.admits(0, 0));
        }

        @Test
        void shouldResetFailuresWhenATaskFinishes() {
            quarantine.failed("a", 0, random);
            quarantine.failed("b", 0, random);
            quarantine.finished();
            assertFalse(quarantine.failed("c", 0, random));
        }

        @Test
        void shouldProbeWithOneTaskAndBackOffAfterEachFailure() {
            quarantine.failed("a", 0, random);
            quarantine.failed("b", 0, random);
            quarantine.failed("c", 0, random);
            assertFalse(quarantine.admits(7 * SECOND_NS, 0));
            assertTrue(quarantine.admits(13 * SECOND_NS, 0));
            assertFalse(quarantine.admits(13 * SECOND_NS, 1), "only one probe at a time");
            quarantine.failed("d", 13 * SECOND_NS, random);
            assertFalse(quarantine.admits((13 + 14) * SECOND_NS, 0));
            assertTrue(quarantine.admits((13 + 26) * SECOND_NS, 0));
        }
    }

    @Nested
    class Estimation {

        @Test
        void shouldStartFromTheDeclaredSizeAndEstimateAHighPercentile() {
            UsageEstimator usage = UsageEstimator.empty();
            Resources declared = new Resources(4_000, 4_000, 1);
            assertEquals(declared, usage.estimate("k", declared));
            for (int i = 0; i < 100; i++) {
                usage.observe("k", new Resources(i < 90 ? 500 : 1_000, 2_000, 0), 0, 1_000);
            }
            Resources estimated = usage.estimate("k", declared);
            assertTrue(
                    estimated.processorsMillicores() >= 1_000, "must cover the upper 10% of the samples: " + estimated);
            assertTrue(estimated.processorsMillicores() <= 1_200, "must be close to the usage: " + estimated);
            assertEquals(1, estimated.accelerators());
        }

        @Test
        void shouldIgnoreSamplesFromBeforeTheTaskRan() {
            UsageEstimator usage = UsageEstimator.empty();
            Resources declared = new Resources(4_000, 4_000, 0);
            for (int i = 0; i < 100; i++) {
                usage.observe("k", Resources.NONE, 5_000, 1_000);
            }
            assertEquals(declared, usage.estimate("k", declared));
        }

        @Test
        void shouldEstimateInterferencePerPairAndBand() {
            Interference interference = Interference.empty();
            for (int i = 0; i < 30; i++) {
                interference.observe("seam-check", "mildew", LoadBand.HIGH, 1.8);
                interference.observe("seam-check", "mildew", LoadBand.LOW, 1.0);
            }
            assertEquals(1.8, interference.ratio("seam-check", "mildew", LoadBand.HIGH), 0.01);
            assertEquals(1.0, interference.ratio("seam-check", "mildew", LoadBand.LOW), 0.01);
            assertEquals(
                    1.0,
                    interference.ratio("", "mildew", LoadBand.HIGH),
                    "no interference without a latency-critical kind");
        }
    }
}
