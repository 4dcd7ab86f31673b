package org.pollensill.retry;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

class TargetTimeoutsTest {

    private static final TimeoutBounds BOUNDS = new TimeoutBounds(150, 400, 2_000);

    private final TargetTimeouts timeouts = TargetTimeouts.of(BOUNDS, 2);

    private void answer(String target, long elapsedMs, int times) {
        for (int i = 0; i < times; i++) {
            timeouts.answered(target, elapsedMs);
        }
    }

    @Test
    void shouldBeginWithTheInitialTimeout() {
        assertEquals(400, timeouts.timeoutMs("r1"));
    }

    @Test
    void shouldKeepTheMinimumWhileAnswersAreFast() {
        answer("r1", 5, 50);
        assertEquals(150, timeouts.timeoutMs("r1"));
    }

    @Test
    void shouldOutlastAnswersThatBecomeTenTimesSlower() {
        answer("r1", 40, 50);
        answer("r1", 400, 8);
        assertTrue(timeouts.timeoutMs("r1") > 400, "timeout: " + timeouts.timeoutMs("r1"));
    }

    @Test
    void shouldReturnToTheMinimumAfterTheDelay() {
        answer("r1", 800, 20);
        answer("r1", 20, 60);
        assertEquals(150, timeouts.timeoutMs("r1"));
    }

    @Test
    void shouldExtendTheTimeoutOfAllTargetsWhenAllAreDelayed() {
        answer("r1", 20, 50);
        answer("r2", 700, 20);
        assertTrue(timeouts.timeoutMs("r3") > 700);
    }

    @Test
    void shouldKeepTheLongerTimeoutOfASlowTarget() {
        answer("slow", 500, 20);
        answer("fast", 5, 100);
        assertEquals(150, timeouts.timeoutMs("fast"));
        assertTrue(timeouts.timeoutMs("slow") >= 500);
    }

    @Test
    void shouldNeverExceedTheMaximum() {
        answer("r1", 60_000, 20);
        assertEquals(2_000, timeouts.timeoutMs("r1"));
    }

    @Test
    void shouldForgetTheTargetNotUsedForTheLongest() {
        answer("slow", 1_000, 20);
        answer("a", 5, 100);
        answer("b", 5, 100);
        assertEquals(150, timeouts.timeoutMs("slow"));
    }

    @Test
    void shouldRejectInvalidBounds() {
        assertThrows(IllegalArgumentException.class, () -> new TimeoutBounds(0, 1, 2));
        assertThrows(IllegalArgumentException.class, () -> new TimeoutBounds(5, 4, 6));
        assertThrows(IllegalArgumentException.class, () -> new TimeoutBounds(5, 6, 5));
    }
}
