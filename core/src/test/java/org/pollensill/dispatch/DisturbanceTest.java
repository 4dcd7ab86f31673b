package org.pollensill.dispatch;

import java.util.Map;
import java.util.Random;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollensill.json.JsonSyntaxException;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

class DisturbanceTest {

    /** Loss of slack by a whole runner full of the harmful image. */
    private static final double HARMFUL = 6;

    private final Disturbance disturbance = new Disturbance();

    /** Measures two tasks of a job whose own load swings; only one of them has neighbours. */
    private void measure(String serving, String harmful, String harmless, int times, long seed) {
        Random random = new Random(seed);
        String job = "job-" + serving;
        for (int i = 0; i < times; i++) {
            long nowMs = 1_000 + i * 100L;
            double idleSlack = 2.75 + 1.1 * Math.sin(2 * Math.PI * nowMs / 20_000.0);
            disturbance.observe(serving, job, Map.of(), noisy(idleSlack, random), nowMs);
            double first = random.nextDouble() * 0.2;
            double second = random.nextDouble() * 0.2;
            double slack = Math.max(0.2, idleSlack - HARMFUL * first);
            disturbance.observe(serving, job, Map.of(harmful, first, harmless, second), noisy(slack, random), nowMs);
        }
    }

    private static double noisy(double slack, Random random) {
        return slack * (1 + 0.04 * random.nextGaussian());
    }

    @Nested
    class Estimates {

        @Test
        void shouldTellTheDisturberFromWhatRunsBesideIt() {
            measure("serving", "harmful", "harmless", 300, 1);
            assertEquals(HARMFUL * 0.1, disturbance.pressure("serving", "harmful", 0.1), 0.12);
            assertTrue(disturbance.pressure("serving", "harmless", 0.1) < 0.08);
        }

        @Test
        void shouldAssumeSomeHarmOfImagesThatWereNeverMeasured() {
            assertEquals(Disturbance.ASSUMED_COEFFICIENT * 0.5, disturbance.pressure("serving", "unknown", 0.5), 1e-9);
        }

        @Test
        void shouldIgnoreATailThatWasNotMeasured() {
            disturbance.observe("serving", "job", Map.of("harmful", 0.5), 0, 1_000);
            disturbance.observe("serving", "job", Map.of("harmful", 0.5), Double.NaN, 1_000);
            disturbance.observe("serving", "job", Map.of("harmful", 0.5), Double.POSITIVE_INFINITY, 1_000);
            assertEquals(Disturbance.ASSUMED_COEFFICIENT * 0.5, disturbance.pressure("serving", "harmful", 0.5), 1e-9);
        }
    }

    @Nested
    class NextLeader {

        @Test
        void shouldKnowWhatTheFormerLeaderHasLearned() throws JsonSyntaxException {
            measure("serving", "harmful", "harmless", 300, 1);
            Disturbance next = new Disturbance();
            next.restore(disturbance.encode());
            assertEquals(
                    disturbance.pressure("serving", "harmful", 0.1), next.pressure("serving", "harmful", 0.1), 0.001);
            assertEquals(
                    disturbance.pressure("serving", "harmless", 0.1), next.pressure("serving", "harmless", 0.1), 0.001);
        }

        @Test
        void shouldRefuseTextThatIsNoObject() {
            assertThrows(JsonSyntaxException.class, () -> new Disturbance().restore("[]"));
        }

        @Test
        void shouldLeaveOutPairsThatCannotBeRead() throws JsonSyntaxException {
            Disturbance next = new Disturbance();
            next.restore("{\"serving\":{\"filling\":{\"one\":\"x\",\"two\":[1],\"three\":[6,2]}},\"other\":3}");
            assertEquals(0.6, next.pressure("serving", "three", 0.1), 1e-9);
            assertEquals(Disturbance.ASSUMED_COEFFICIENT * 0.1, next.pressure("serving", "one", 0.1), 1e-9);
        }
    }

    @Nested
    class Caution {

        @Test
        void shouldExpectMoreOfImagesThatAreLittleKnown() {
            measure("serving", "harmful", "harmless", 300, 1);
            double known = disturbance.cautiousPressure("serving", "harmful", 0.1)
                    - disturbance.pressure("serving", "harmful", 0.1);
            double unknown = disturbance.cautiousPressure("serving", "unknown", 0.1)
                    - disturbance.pressure("serving", "unknown", 0.1);
            assertTrue(known < 0.05 && unknown > 0.2, known + " and " + unknown);
        }
    }

    @Nested
    class Load {

        @Test
        void shouldFollowTheLoadOfAJob() {
            for (int i = 0; i < 20; i++) {
                disturbance.observe("serving", "job", Map.of(), 4, 1_000 + i * 100L);
            }
            assertEquals(4, disturbance.idleSlack("serving", "job", 3_000), 0.3);
            for (int i = 0; i < 20; i++) {
                disturbance.observe("serving", "job", Map.of(), 1.5, 3_000 + i * 100L);
            }
            assertEquals(1.5, disturbance.idleSlack("serving", "job", 5_000), 0.2);
        }

        @Test
        void shouldTellJobsOfOneImageApart() {
            for (int i = 0; i < 20; i++) {
                disturbance.observe("serving", "quiet", Map.of(), 4, 1_000 + i * 100L);
                disturbance.observe("serving", "busy", Map.of(), 1.5, 1_000 + i * 100L);
            }
            assertTrue(disturbance.idleSlack("serving", "quiet", 3_000) > 3.5);
            assertTrue(disturbance.idleSlack("serving", "busy", 3_000) < 2);
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
