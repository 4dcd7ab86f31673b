package org.pollensill.settings;

/**
 * Values of the entry daemon.
 *
 * @param drainMs max duration of a graceful shutdown
 * @param claimCommitsPerSecond group commits of claims per second and host
 * @param answerStoreBytes max size of an answer stored for an idempotency key
 * @param ejectedUpstreamsPercent max share of an owner's upstreams that are ejected at the same time
 * @param probeIntervalMs time between probes of an ejected upstream
 */
public record EntryValues(
        long drainMs,
        int claimCommitsPerSecond,
        int answerStoreBytes,
        int ejectedUpstreamsPercent,
        long probeIntervalMs) {}
