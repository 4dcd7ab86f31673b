package org.pollensill.bench.measure;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against a fit that underestimates growth, and against a residual that does not reveal a poor fit. */
class LinearFitTest {

    private static final double[] SIZES = {10, 40, 160, 640};

    @Nested
    class Fit {

        @Test
        void shouldFitExactlyWhenCostsAreLinear() {
            LinearFit fit = LinearFit.of(SIZES, new double[] {25, 85, 325, 1285});
            assertEquals(2, fit.slope(), 1e-9);
            assertEquals(5, fit.intercept(), 1e-9);
            assertEquals(0, fit.residual(), 1e-9);
        }

        @Test
        void shouldReportLargeResidualWhenCostsGrowQuadratically() {
            LinearFit fit = LinearFit.of(SIZES, new double[] {100, 1600, 25_600, 409_600});
            assertTrue(fit.residual() > 0.1, fit.toString());
        }
    }

    @Nested
    class Exponent {

        @Test
        void shouldDistinguishConstantProportionalAndQuadraticCosts() {
            assertEquals(0, LinearFit.exponent(SIZES, new double[] {7, 7, 7, 7}), 1e-9);
            assertEquals(1, LinearFit.exponent(SIZES, SIZES), 1e-9);
            assertEquals(2, LinearFit.exponent(SIZES, new double[] {100, 1600, 25_600, 409_600}), 1e-9);
        }
    }
}
