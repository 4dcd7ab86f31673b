package org.pollensill.dispatch;

import java.util.HashMap;
import java.util.Map;

import org.pollensill.runner.RunnerEntry;

/** Counts the placements of this leader by the service and the labels of the chosen runner. */
final class PlacementCounts {

    /** Key of the placements on runners with any labels. */
    private static final String ANY_LABEL = "";

    private final Map<String, Map<String, Long>> byServiceAndLabel = new HashMap<>();

    /** Counts a placement on a listed runner. */
    void placed(StepState step, RunnerState runner) {
        step.placements++;
        RunnerEntry entry = runner.entry.get();
        Map<String, Long> byLabel = byServiceAndLabel.computeIfAbsent(entry.service(), service -> new HashMap<>());
        byLabel.merge(ANY_LABEL, 1L, Long::sum);
        for (String label : entry.labels()) {
            byLabel.merge(label, 1L, Long::sum);
        }
    }

    /** Returns how many tasks of other steps were placed on runners with the service and label that a step requires. */
    long ofOtherSteps(StepState step) {
        String label = step.spec.placement().requiredLabel().orElse(ANY_LABEL);
        long all = byServiceAndLabel.getOrDefault(step.job.service, Map.of()).getOrDefault(label, 0L);
        return all - step.placements;
    }
}
