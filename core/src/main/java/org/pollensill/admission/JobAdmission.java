package org.pollensill.admission;

import java.util.Objects;
import java.util.Optional;
import java.util.random.RandomGenerator;

import org.pollensill.admission.AdmissionDecision.Reason;
import org.pollensill.job.JobRequest;
import org.pollensill.job.JobTerms;
import org.pollensill.job.StepSpec;
import org.pollensill.job.Trait;

/**
 * Rejects jobs that cannot be done before their completion loses its value. It answers a burst of jobs beyond the room
 * of their service: each accepted job that ends without value has taken room from one that would have ended in time.
 * A caller that is turned away is told to come back when the work ahead is expected to be done, spread over as long
 * again, so that callers return in turn.
 */
public final class JobAdmission {

    /** Part of a forecast wait that is taken as certain, since the estimates of run times are off by half and more. */
    private static final double CERTAIN_FRACTION = 0.5;

    private static final int MAX_RETRY_AFTER_S = 30;

    /** Time in which a leader whose memory is full ends jobs, before callers come back. */
    static final long MEMORY_RETRY_MS = 2_000;

    private static final long MS_PER_S = 1_000;

    private final double latenessFactor;
    private final RandomGenerator random;

    /**
     * Creates an admission.
     *
     * @param latenessFactor the multiple of its objective up to which the completion of a job has value
     * @param random spreads the return of callers
     * @throws IllegalArgumentException if the factor is below 1
     */
    public JobAdmission(double latenessFactor, RandomGenerator random) {
        if (!(latenessFactor >= 1)) {
            throw new IllegalArgumentException("lateness factor below 1: " + latenessFactor);
        }
        this.latenessFactor = latenessFactor;
        this.random = Objects.requireNonNull(random, "random is null");
    }

    /**
     * Decides on a job.
     *
     * @param job the job
     * @param forecast the forecast, empty where none is recent
     * @return the decision
     */
    public AdmissionDecision decide(JobRequest job, Optional<LoadForecast> forecast) {
        if (forecast.isEmpty()) {
            return new AdmissionDecision(Reason.NOT_FORESEEN, 0, 0);
        }
        if (forecast.get().memoryFull()) {
            return new AdmissionDecision(Reason.MEMORY_FULL, retryAfterS(MEMORY_RETRY_MS), 0);
        }
        ServiceForecast service = forecast.get().services().get(job.service());
        long needMillicores = largestNeedMillicores(job);
        boolean foreseen = service != null
                && service.roomFor(needMillicores) > 0
                && hasObjective(job)
                && job.terms().isPresent();
        if (!foreseen) {
            return new AdmissionDecision(Reason.NOT_FORESEEN, 0, 0);
        }
        JobTerms terms = job.terms().get();
        long criticalPathMs = job.criticalPathMs();
        long objectiveMs = terms.objectiveMs(criticalPathMs);
        long inTimeMs =
                criticalPathMs + (long) (CERTAIN_FRACTION * service.inTimeWaitMs(terms.priority(), needMillicores));
        if (inTimeMs <= objectiveMs) {
            return new AdmissionDecision(Reason.SERVABLE, 0, inTimeMs);
        }
        long lateMs = criticalPathMs + (long) (CERTAIN_FRACTION * service.lateWaitMs(terms.priority(), needMillicores));
        long excessMs = lateMs - (long) (latenessFactor * objectiveMs);
        return excessMs <= 0
                ? new AdmissionDecision(Reason.SERVABLE, 0, lateMs)
                : new AdmissionDecision(Reason.TOO_LATE, retryAfterS(excessMs), lateMs);
    }

    private static boolean hasObjective(JobRequest job) {
        if (job.schedule().isScheduled()) {
            return false;
        }
        for (StepSpec step : job.steps()) {
            if (step.hasTrait(Trait.RESTART_ALWAYS) || step.hasTrait(Trait.FILLS)) {
                return false;
            }
        }
        return true;
    }

    private static long largestNeedMillicores(JobRequest job) {
        long largest = 0;
        for (StepSpec step : job.steps()) {
            largest = Math.max(largest, step.need().processorsMillicores());
        }
        return largest;
    }

    private int retryAfterS(long delayMs) {
        return retryAfterS(delayMs, random);
    }

    /** Returns the time after which a caller comes back, spread over as long again. */
    static int retryAfterS(long delayMs, RandomGenerator random) {
        double spreadMs = delayMs * (1 + random.nextDouble());
        return (int) Math.max(1, Math.min(MAX_RETRY_AFTER_S, Math.ceil(spreadMs / MS_PER_S)));
    }
}
