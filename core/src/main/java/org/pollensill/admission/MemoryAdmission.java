package org.pollensill.admission;

import java.util.Objects;
import java.util.Optional;
import java.util.random.RandomGenerator;

import org.pollensill.admission.AdmissionDecision.Reason;
import org.pollensill.job.JobRequest;

/**
 * Rejects jobs for which the leader has no memory. Unlike the limit of lateness it is always in force: a job that was
 * accepted is loaded by each leader that follows.
 */
public final class MemoryAdmission {

    private final RandomGenerator random;

    /**
     * Creates an admission.
     *
     * @param random spreads the return of callers
     */
    public MemoryAdmission(RandomGenerator random) {
        this.random = Objects.requireNonNull(random, "random is null");
    }

    /**
     * Returns whether a leader could hold a job beside no other one.
     *
     * @param job the job
     * @return false if the job can never be accepted
     */
    public static boolean canEverFit(JobRequest job) {
        return JobMemory.maxBytes(job) <= MemoryGrants.maxGrantBytes(JobMemory.limitBytes());
    }

    /**
     * Returns whether the leader says that its memory is full.
     *
     * @param forecast the forecast, empty where none is recent
     * @return whether no job is to be accepted
     */
    public static boolean isFull(Optional<LoadForecast> forecast) {
        return forecast.map(LoadForecast::memoryFull).orElse(false);
    }

    /**
     * Returns the decision on a job for which there is no memory.
     *
     * @return the rejection
     */
    public AdmissionDecision rejection() {
        int retryAfterS = JobAdmission.retryAfterS(JobAdmission.MEMORY_RETRY_MS, random);
        return new AdmissionDecision(Reason.MEMORY_FULL, retryAfterS, 0);
    }
}
