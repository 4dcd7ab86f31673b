package org.pollensill.dispatch;

import java.util.Map;
import java.util.Random;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollensill.json.JsonSyntaxException;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

class InterferenceModelTest {

    /** Slack loss when the interfering image uses all processors of a runner. */
    private static final double INTERFERING_COEFFICIENT = 6;

    private final InterferenceModel interferenceModel = new InterferenceModel();

    /** Observes two tasks of a job with a periodic load; only one of them runs beside best-effort tasks. */
    private void measure(String criticalImage, String interfering, String neutral, int rounds, long seed) {
        Random random = new Random(seed);
        String job = "job-" + criticalImage;
        for (int i = 0; i < rounds; i++) {
            long nowMs = 1_000 + i * 100L;
            double idleSlack = 2.75 + 1.1 * Math.sin(2 * Math.PI * nowMs / 20_000.0);
            interferenceModel.observe(criticalImage, job, Map.of(), withNoise(idleSlack, random), nowMs);
            double interferingShare = random.nextDouble() * 0.2;
            double neutralShare = random.nextDouble() * 0.2;
            double slack = Math.max(0.2, idleSlack - INTERFERING_COEFFICIENT * interferingShare);
            interferenceModel.observe(
                    criticalImage,
                    job,
                    Map.of(interfering, interferingShare, neutral, neutralShare),
                    withNoise(slack, random),
                    nowMs);
        }
    }

    private static double withNoise(double slack, Random random) {
        return slack * (1 + 0.04 * random.nextGaussian());
    }

    @Nested
    class Estimates {

        @Test
        void shouldAttributeSlackLossToTheInterferingImageOnly() {
            measure("critical", "interfering", "neutral", 300, 1);
            assertEquals(
                    INTERFERING_COEFFICIENT * 0.1, interferenceModel.slackLoss("critical", "interfering", 0.1), 0.12);
            assertTrue(interferenceModel.slackLoss("critical", "neutral", 0.1) < 0.08);
        }

        @Test
        void shouldUseThePriorCoefficientForImagesWithoutMeasurements() {
            assertEquals(
                    InterferenceModel.PRIOR_COEFFICIENT * 0.5,
                    interferenceModel.slackLoss("critical", "unknown", 0.5),
                    1e-9);
        }

        @Test
        void shouldIgnoreASlackThatIsNotAPositiveFiniteNumber() {
            interferenceModel.observe("critical", "job", Map.of("interfering", 0.5), 0, 1_000);
            interferenceModel.observe("critical", "job", Map.of("interfering", 0.5), Double.NaN, 1_000);
            interferenceModel.observe("critical", "job", Map.of("interfering", 0.5), Double.POSITIVE_INFINITY, 1_000);
            assertEquals(
                    InterferenceModel.PRIOR_COEFFICIENT * 0.5,
                    interferenceModel.slackLoss("critical", "interfering", 0.5),
                    1e-9);
        }
    }

    @Nested
    class StoredEstimates {

        @Test
        void shouldRestoreTheEstimatesOfTheFormerLeader() throws JsonSyntaxException {
            measure("critical", "interfering", "neutral", 300, 1);
            InterferenceModel successor = new InterferenceModel();
            successor.restore(interferenceModel.encode());
            assertEquals(
                    interferenceModel.slackLoss("critical", "interfering", 0.1),
                    successor.slackLoss("critical", "interfering", 0.1),
                    0.001);
            assertEquals(
                    interferenceModel.slackLoss("critical", "neutral", 0.1),
                    successor.slackLoss("critical", "neutral", 0.1),
                    0.001);
        }

        @Test
        void shouldRejectTextThatIsNoJsonObject() {
            assertThrows(JsonSyntaxException.class, () -> new InterferenceModel().restore("[]"));
        }

        @Test
        void shouldSkipPairsThatCannotBeRead() throws JsonSyntaxException {
            InterferenceModel successor = new InterferenceModel();
            successor.restore("{\"critical\":{\"filling\":{\"one\":\"x\",\"two\":[1],\"three\":[6,2]}},\"other\":3}");
            assertEquals(0.6, successor.slackLoss("critical", "three", 0.1), 1e-9);
            assertEquals(InterferenceModel.PRIOR_COEFFICIENT * 0.1, successor.slackLoss("critical", "one", 0.1), 1e-9);
        }
    }

    @Nested
    class ConservativeEstimates {

        @Test
        void shouldAddALargerMarginForImagesWithFewMeasurements() {
            measure("critical", "interfering", "neutral", 300, 1);
            double measuredMargin = interferenceModel.conservativeSlackLoss("critical", "interfering", 0.1)
                    - interferenceModel.slackLoss("critical", "interfering", 0.1);
            double unmeasuredMargin = interferenceModel.conservativeSlackLoss("critical", "unknown", 0.1)
                    - interferenceModel.slackLoss("critical", "unknown", 0.1);
            assertTrue(measuredMargin < 0.05 && unmeasuredMargin > 0.2, measuredMargin + " and " + unmeasuredMargin);
        }
    }

    @Nested
    class IdleSlack {

        @Test
        void shouldFollowTheLoadOfAJob() {
            for (int i = 0; i < 20; i++) {
                interferenceModel.observe("critical", "job", Map.of(), 4, 1_000 + i * 100L);
            }
            assertEquals(4, interferenceModel.idleSlack("critical", "job", 3_000), 0.3);
            for (int i = 0; i < 20; i++) {
                interferenceModel.observe("critical", "job", Map.of(), 1.5, 3_000 + i * 100L);
            }
            assertEquals(1.5, interferenceModel.idleSlack("critical", "job", 5_000), 0.2);
        }

        @Test
        void shouldTrackEachJobOfAnImageSeparately() {
            for (int i = 0; i < 20; i++) {
                interferenceModel.observe("critical", "quiet", Map.of(), 4, 1_000 + i * 100L);
                interferenceModel.observe("critical", "busy", Map.of(), 1.5, 1_000 + i * 100L);
            }
            assertTrue(interferenceModel.idleSlack("critical", "quiet", 3_000) > 3.5);
            assertTrue(interferenceModel.idleSlack("critical", "busy", 3_000) < 2);
        }
    }

    @Nested
    class Similarity {

        @Test
        void shouldBeHighForImagesWithTheSameSensitivity() {
            measure("one", "interfering", "neutral", 1_000, 1);
            measure("two", "interfering", "neutral", 1_000, 2);
            measure("three", "neutral", "interfering", 1_000, 3);
            assertTrue(interferenceModel.similarity("one", "two") > 0.8);
            assertTrue(interferenceModel.similarity("one", "three") < 0.5);
        }
    }
}
