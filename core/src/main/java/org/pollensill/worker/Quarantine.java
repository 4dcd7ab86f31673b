package org.pollensill.worker;

import java.util.HashSet;
import java.util.Objects;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Quarantines a worker on which several different jobs failed in a row, and probes it with one task at a time after an
 * exponential back-off. Repeated failures of a single job do not count against the worker.
 */
public final class Quarantine {

    /** Number of different jobs that must fail in a row before a worker is quarantined. */
    private static final int FAILED_JOBS_THRESHOLD = 3;

    private static final long INITIAL_BACKOFF_NS = 10_000_000_000L;
    private static final long MAX_BACKOFF_NS = 600_000_000_000L;

    private final Set<String> failedJobs = new HashSet<>();
    private boolean quarantined;
    private long backoffNs = INITIAL_BACKOFF_NS;
    private long nextProbeNs;

    private Quarantine() {}

    /**
     * Returns the state of a worker without failures.
     *
     * @return the state
     */
    public static Quarantine empty() {
        return new Quarantine();
    }

    /**
     * Records a failure of a task on the worker.
     *
     * @param job the task's job
     * @param nowNs monotonic time
     * @param random source of jitter, so that workers that failed at the same time are not probed at the same time
     * @return whether this failure quarantines the worker
     */
    public boolean failed(String job, long nowNs, RandomGenerator random) {
        failedJobs.add(Objects.requireNonNull(job, "job is null"));
        if (quarantined) {
            backoffNs = Math.min(MAX_BACKOFF_NS, backoffNs * 2);
            nextProbeNs = nowNs + jitteredBackoffNs(random);
            return false;
        }
        if (failedJobs.size() < FAILED_JOBS_THRESHOLD) {
            return false;
        }
        quarantined = true;
        nextProbeNs = nowNs + jitteredBackoffNs(random);
        return true;
    }

    /** Records that a task finished on the worker, which ends the quarantine. */
    public void finished() {
        failedJobs.clear();
        quarantined = false;
        backoffNs = INITIAL_BACKOFF_NS;
    }

    /**
     * Returns whether the worker may start a task.
     *
     * @param nowNs monotonic time
     * @param holders number of tasks placed on the worker
     * @return false while the worker is quarantined, except for a probe that is due
     */
    public boolean admits(long nowNs, int holders) {
        return !quarantined || holders == 0 && nowNs - nextProbeNs >= 0;
    }

    /**
     * Returns whether the worker is quarantined.
     *
     * @return whether it is quarantined
     */
    public boolean isActive() {
        return quarantined;
    }

    private long jitteredBackoffNs(RandomGenerator random) {
        return backoffNs * 3 / 4 + random.nextLong(backoffNs / 2);
    }
}
