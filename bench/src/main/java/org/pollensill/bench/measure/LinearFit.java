package org.pollensill.bench.measure;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Linear least-squares fit of measured costs.
 *
 * @param intercept cost at size 0
 * @param slope cost per unit of size
 * @param residual root mean square of the residuals, relative to the mean cost
 */
record LinearFit(double intercept, double slope, double residual) {

    static LinearFit of(double[] sizes, double[] costs) {
        if (sizes.length != costs.length || sizes.length < 2) {
            throw new IllegalArgumentException("a linear fit needs two or more pairs of size and cost");
        }
        double meanSize = 0;
        double meanCost = 0;
        for (int i = 0; i < sizes.length; i++) {
            meanSize += sizes[i] / sizes.length;
            meanCost += costs[i] / sizes.length;
        }
        double covariance = 0;
        double variance = 0;
        for (int i = 0; i < sizes.length; i++) {
            covariance += (sizes[i] - meanSize) * (costs[i] - meanCost);
            variance += (sizes[i] - meanSize) * (sizes[i] - meanSize);
        }
        double slope = covariance / variance;
        double intercept = meanCost - slope * meanSize;
        double meanSquaredResidual = 0;
        for (int i = 0; i < sizes.length; i++) {
            double deviation = costs[i] - intercept - slope * sizes[i];
            meanSquaredResidual += deviation * deviation / sizes.length;
        }
        return new LinearFit(intercept, slope, Math.sqrt(meanSquaredResidual) / meanCost);
    }

    /** Returns the exponent of a power law fitted to the costs: 0 for constant cost, 1 for proportional cost. */
    static double exponent(double[] sizes, double[] costs) {
        double[] logSizes = new double[sizes.length];
        double[] logCosts = new double[costs.length];
        for (int i = 0; i < sizes.length; i++) {
            logSizes[i] = Math.log(sizes[i]);
            logCosts[i] = Math.log(costs[i]);
        }
        return of(logSizes, logCosts).slope();
    }

    Map<String, Object> toMap() {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("intercept", intercept);
        map.put("slope", slope);
        map.put("relativeResidual", residual);
        return map;
    }
}
