package org.pollensill.claim;

import java.util.Objects;

/**
 * Limits and process identity of a {@link ClaimTable}.
 *
 * @param host this host's name
 * @param incarnation incarnation of this process
 * @param commitsPerSecond maximum rate of group commits
 * @param answerStoreBytes maximum body size of a stored answer
 * @param maxClaims maximum number of claims in progress; further requests are refused
 * @param maxPendingAnswerBytes maximum total body size of answers that wait for their commit; further answers are
 *     stored without their body
 */
public record ClaimSettings(
        String host,
        String incarnation,
        int commitsPerSecond,
        int answerStoreBytes,
        int maxClaims,
        long maxPendingAnswerBytes) {

    /**
     * Creates settings.
     *
     * @throws NullPointerException if an argument is null
     * @throws IllegalArgumentException if a number is out of range
     */
    public ClaimSettings {
        Objects.requireNonNull(host, "host is null");
        Objects.requireNonNull(incarnation, "incarnation is null");
        if (commitsPerSecond < 1 || answerStoreBytes < 0 || maxClaims < 1 || maxPendingAnswerBytes < 0) {
            throw new IllegalArgumentException("commitsPerSecond, answerStoreBytes, maxClaims or maxPendingAnswerBytes"
                    + " is out of range: " + commitsPerSecond + ", " + answerStoreBytes + ", " + maxClaims + ", "
                    + maxPendingAnswerBytes);
        }
    }

    /**
     * Returns the default settings: 20 commits per second, stored answers of up to 64 KiB, and up to 4 MiB of answers
     * that wait for their commit, which fits into a process of 64 MB.
     *
     * @param host this host's name
     * @param incarnation incarnation of this process
     * @return the settings
     */
    public static ClaimSettings standard(String host, String incarnation) {
        return new ClaimSettings(host, incarnation, 20, 64 * 1024, 10_000, 4L * 1024 * 1024);
    }

    /**
     * Returns these settings with the values that the settings tree defines.
     *
     * @param newCommitsPerSecond maximum rate of group commits
     * @param newAnswerStoreBytes maximum body size of a stored answer
     * @return the settings
     */
    public ClaimSettings with(int newCommitsPerSecond, int newAnswerStoreBytes) {
        return new ClaimSettings(
                host, incarnation, newCommitsPerSecond, newAnswerStoreBytes, maxClaims, maxPendingAnswerBytes);
    }
}
