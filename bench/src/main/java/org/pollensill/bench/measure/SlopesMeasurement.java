package org.pollensill.bench.measure;

import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;

/** Measures how operation costs grow with size: four or more sizes each, with a linear fit and its residual. */
final class SlopesMeasurement implements Measurement {

    @Override
    public Map<String, Object> run(Path home, Path directory) {
        Map<String, Object> results = new LinkedHashMap<>();
        for (ScalingCase scalingCase : Slopes.all()) {
            results.put(scalingCase.name(), scalingCase.measure());
        }
        return results;
    }
}
