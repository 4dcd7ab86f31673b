package org.pollensill.coordinator;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertTrue;

class LeaderElectorTest {

    private static final double STRONG = 1;
    private static final double WEAK = 0.1;

    @Test
    void shouldPreferTheNearestOfEqualCandidates() {
        assertTrue(LeaderElector.preferenceDelayMs(4, STRONG) < LeaderElector.preferenceDelayMs(18, STRONG));
    }

    @Test
    void shouldPreferADistantStrongCandidateToANearWeakOne() {
        assertTrue(LeaderElector.preferenceDelayMs(18, STRONG) < LeaderElector.preferenceDelayMs(4, WEAK));
    }

    // The bound of the whole delay made all candidates equal while the store was sixty times slower.
    @Test
    void shouldPreferAStrongCandidateWhileTheStoreIsSlow() {
        long strongMs = LeaderElector.preferenceDelayMs(250, STRONG);
        assertTrue(LeaderElector.preferenceDelayMs(250, WEAK) >= strongMs + 300);
    }
}
