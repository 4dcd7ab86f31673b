package org.pollensill.settings;

/**
 * The link between two regions.
 *
 * @param oneWayMs one-way latency
 * @param bytesPerSecond bandwidth in each direction
 * @param controlPercent percentage of the bandwidth reserved for control traffic
 */
public record LinkValues(long oneWayMs, long bytesPerSecond, int controlPercent) {}
