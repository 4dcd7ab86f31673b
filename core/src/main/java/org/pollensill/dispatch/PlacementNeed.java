package org.pollensill.dispatch;

import java.util.Set;

import org.pollensill.job.PlacementRule;
import org.pollensill.job.ServiceLevel;
import org.pollensill.job.StepSpec;
import org.pollensill.job.Trait;
import org.pollensill.worker.Resources;

/**
 * What decides which runners a task fits on, apart from the state of its own step: tasks of equal need find room on the
 * same runners.
 *
 * @param service the service of the runners
 * @param need the resources
 * @param estimateMs the estimated run time
 * @param traits the traits
 * @param placement the constraints on the runners
 * @param serviceLevel the service level
 */
record PlacementNeed(
        String service,
        Resources need,
        long estimateMs,
        Set<Trait> traits,
        PlacementRule placement,
        ServiceLevel serviceLevel) {

    static PlacementNeed of(StepState step) {
        StepSpec spec = step.spec;
        return new PlacementNeed(
                step.job.service, spec.need(), spec.estimateMs(), spec.traits(), spec.placement(), spec.serviceLevel());
    }

    /** Returns whether nothing but the need decides where the tasks of a step fit: no ticket and no limit per runner. */
    static boolean decidesFor(StepState step) {
        return step.job.advice().isEmpty() && step.spec.placement().maxPerRunner() == 0;
    }
}
