package org.pollensill.dispatch;

import java.util.Map;
import java.util.Random;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class DisturbanceTest {

    private static final double HARMFUL = 6;

    private final Disturbance disturbance = new Disturbance();

    private void measure(String serving, String harmful, String harmless, int times, long seed) {
        Random random = new Random(seed);
        for (int i = 0; i < times; i++) {
            double first = random.nextDouble() * 0.2;
            double second = random.nextDouble() * 0.2;
            double swing = random.nextGaussian() * 0.3;
            double part = Math.exp(Math.log(0.4) + HARMFUL * first + swing);
            disturbance.observe(serving, Map.of(harmful, first, harmless, second), part);
        }
    }

    @Nested
    class Estimates {

        @Test
        void shouldTellTheDisturberFromWhatRunsBesideIt() {
            measure("serving", "harmful", "harmless", 1_000, 1);
            assertTrue(disturbance.raise("serving", "harmful", 0.1) > Disturbance.MOST_RAISE);
            assertTrue(disturbance.raise("serving", "harmless", 0.1) < Disturbance.MOST_RAISE);
        }

        @Test
        void shouldExpectNothingOfImagesThatWereNeverMeasured() {
            assertEquals(0, disturbance.raise("serving", "unknown", 0.5));
        }

        @Test
        void shouldIgnoreATailThatWasNotMeasured() {
            disturbance.observe("serving", Map.of("harmful", 0.5), 0);
            disturbance.observe("serving", Map.of("harmful", 0.5), Double.NaN);
            assertEquals(0, disturbance.raise("serving", "harmful", 0.5));
        }
    }

    @Nested
    class Likeness {

        @Test
        void shouldFindImagesAlikeThatTheSameOnesDisturb() {
            measure("one", "harmful", "harmless", 1_000, 1);
            measure("two", "harmful", "harmless", 1_000, 2);
            measure("three", "harmless", "harmful", 1_000, 3);
            assertTrue(disturbance.likeness("one", "two") > 0.8);
            assertTrue(disturbance.likeness("one", "three") < 0.5);
        }
    }
}
