package org.pollensill.batch;

import java.util.Map;
import java.util.Objects;

import org.pollensill.worker.Resources;

/**
 * Effective batch settings, with the shifts resolved.
 *
 * @param shareOfWorkerPercent share of a worker that batch tasks may use
 * @param evictionsPerMinute maximum number of evictions per minute and shard for overload or urgent tasks
 * @param throttlePercent percentage of a latency-critical kind's latency bound from which tasks are throttled
 * @param releasePercent percentage of a latency-critical kind's latency bound below which throttles are
 *     released
 * @param leaseMs length of a worker lease
 * @param renewIntervalMs interval between lease renewals
 * @param startWindowMs maximum time for a start to reach its worker
 * @param candidates number of workers that a placement samples
 * @param teams quotas and weights; a team that is not listed has no quota and weight 1
 */
public record BatchSettings(
        int shareOfWorkerPercent,
        int evictionsPerMinute,
        int throttlePercent,
        int releasePercent,
        long leaseMs,
        long renewIntervalMs,
        long startWindowMs,
        int candidates,
        Map<String, Team> teams) {

    /** Defaults for a fleet without a settings tree. */
    public static final BatchSettings DEFAULTS = new BatchSettings(80, 60, 90, 70, 30_000, 5_000, 2_000, 8, Map.of());

    /**
     * Creates settings.
     *
     * @throws NullPointerException if {@code teams} is null
     * @throws IllegalArgumentException if a value is out of range
     */
    public BatchSettings {
        teams = Map.copyOf(Objects.requireNonNull(teams, "teams is null"));
        if (shareOfWorkerPercent < 0 || shareOfWorkerPercent > 100 || releasePercent >= throttlePercent) {
            throw new IllegalArgumentException(
                    "shareOfWorkerPercent, throttlePercent or releasePercent is out of range: " + shareOfWorkerPercent
                            + ", " + throttlePercent + ", " + releasePercent);
        }
        if (evictionsPerMinute < 0 || startWindowMs < 1 || renewIntervalMs < 1 || candidates < 1) {
            throw new IllegalArgumentException(
                    "evictionsPerMinute, startWindowMs, renewIntervalMs or candidates is out of range");
        }
        if (leaseMs < 2 * renewIntervalMs || leaseMs <= startWindowMs) {
            throw new IllegalArgumentException(
                    "leaseMs is too short for the renewal interval or the start window: " + leaseMs);
        }
    }

    /**
     * Returns a copy with another batch share.
     *
     * @param percent the share of a worker that batch tasks may use
     * @return the settings
     */
    public BatchSettings withShare(int percent) {
        return new BatchSettings(
                percent,
                evictionsPerMinute,
                throttlePercent,
                releasePercent,
                leaseMs,
                renewIntervalMs,
                startWindowMs,
                candidates,
                teams);
    }

    /**
     * Returns a copy with other teams.
     *
     * @param newTeams quotas and weights
     * @return the settings
     */
    public BatchSettings withTeams(Map<String, Team> newTeams) {
        return new BatchSettings(
                shareOfWorkerPercent,
                evictionsPerMinute,
                throttlePercent,
                releasePercent,
                leaseMs,
                renewIntervalMs,
                startWindowMs,
                candidates,
                newTeams);
    }

    /**
     * A team's quota and weight in a shard.
     *
     * @param quota the maximum total allocation of its placed tasks
     * @param weight its weight in fair sharing
     */
    public record Team(Resources quota, double weight) {

        /** A team without limits. */
        public static final Team UNLIMITED =
                new Team(new Resources(Long.MAX_VALUE / 4, Long.MAX_VALUE / 4, Long.MAX_VALUE / 4), 1);

        /**
         * Creates a team.
         *
         * @throws NullPointerException if {@code quota} is null
         * @throws IllegalArgumentException if the weight is not positive
         */
        public Team {
            Objects.requireNonNull(quota, "quota is null");
            if (!(weight > 0)) {
                throw new IllegalArgumentException("weight is not positive: " + weight);
            }
        }
    }

    /**
     * Returns a team's settings.
     *
     * @param name the team
     * @return its quota and weight
     */
    public Team team(String name) {
        return teams.getOrDefault(name, Team.UNLIMITED);
    }
}
