package org.pollensill.settings;

/**
 * Values of the batch daemon.
 *
 * @param shareOfWorkerPercent max share of a worker that batch work may use
 * @param headroomLeadMs time before a shift from which its headroom is reserved
 * @param evictionsPerMinute max evictions per minute and shard
 * @param throttlePercent percentage of a latency bound at which batch work is throttled
 * @param releasePercent percentage of a latency bound below which throttling ends
 * @param leaseMs duration of a worker lease
 * @param renewIntervalMs time between renewals of a lease
 * @param candidates workers sampled for each placement
 */
public record BatchValues(
        int shareOfWorkerPercent,
        long headroomLeadMs,
        int evictionsPerMinute,
        int throttlePercent,
        int releasePercent,
        long leaseMs,
        long renewIntervalMs,
        int candidates) {}
