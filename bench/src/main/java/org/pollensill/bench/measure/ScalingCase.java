package org.pollensill.bench.measure;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.IntFunction;

/**
 * Measures the cost of an operation at several sizes.
 *
 * @param name key of the results
 * @param sizes the sizes
 * @param operation creates the operation for a size
 */
record ScalingCase(String name, List<Integer> sizes, IntFunction<Runnable> operation) {

    private static final int ROUNDS = 7;
    private static final int WARM_UP_ROUNDS = 5;
    private static final long ROUND_NS = 100_000_000;

    ScalingCase {
        Objects.requireNonNull(name, "name is null");
        sizes = List.copyOf(Objects.requireNonNull(sizes, "sizes is null"));
        Objects.requireNonNull(operation, "operation is null");
    }

    Map<String, Object> measure() {
        double[] sizeValues = sizes.stream().mapToDouble(Integer::doubleValue).toArray();
        double[] costsNs = medianCostsNs();
        Map<String, Object> points = new LinkedHashMap<>();
        for (int i = 0; i < costsNs.length; i++) {
            points.put(Integer.toString(sizes.get(i)), Math.round(costsNs[i]));
        }
        Map<String, Object> result = new LinkedHashMap<>();
        result.put("nanosecondsPerOperation", points);
        result.put("fit", LinearFit.of(sizeValues, costsNs).toMap());
        result.put("exponent", FloodMeasurement.roundToThousandths(LinearFit.exponent(sizeValues, costsNs)));
        result.put("largestToSmallest", FloodMeasurement.roundToThousandths(costsNs[costsNs.length - 1] / costsNs[0]));
        return result;
    }

    /**
     * Returns the median cost at each size. All sizes are warmed up before the first measured round, and each round
     * measures all sizes in turn, so that neither JIT compilation nor other load on the machine favours one of them.
     */
    private double[] medianCostsNs() {
        List<Runnable> operations = sizes.stream().map(operation::apply).toList();
        for (int round = 0; round < WARM_UP_ROUNDS; round++) {
            operations.forEach(operationOfSize -> meanCostNs(operationOfSize, ROUND_NS));
        }
        double[][] costsBySize = new double[operations.size()][ROUNDS];
        for (int i = 0; i < ROUNDS; i++) {
            for (int sizeIndex = 0; sizeIndex < costsBySize.length; sizeIndex++) {
                costsBySize[sizeIndex][i] = meanCostNs(operations.get(sizeIndex), ROUND_NS);
            }
        }
        for (double[] costs : costsBySize) {
            Arrays.sort(costs);
        }
        return Arrays.stream(costsBySize)
                .mapToDouble(costs -> costs[ROUNDS / 2])
                .toArray();
    }

    private static double meanCostNs(Runnable operation, long minDurationNs) {
        long startNs = System.nanoTime();
        long operations = 0;
        long elapsedNs = 0;
        while (elapsedNs < minDurationNs) {
            operation.run();
            operations++;
            elapsedNs = System.nanoTime() - startNs;
        }
        return (double) elapsedNs / operations;
    }
}
