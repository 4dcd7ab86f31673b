package org.pollensill.coordinator;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollensill.platform.PlatformException;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class StoreHealthTest {

    private final AtomicLong nowMs = new AtomicLong(1_000);
    private final StoreHealth health = new StoreHealth(nowMs::get);

    private void call(long tookMs) {
        CompletableFuture<String> call = new CompletableFuture<>();
        health.track(call);
        nowMs.addAndGet(tookMs);
        call.complete("");
    }

    private void longPoll(long tookMs) {
        CompletableFuture<String> call = new CompletableFuture<>();
        health.trackLongPoll(call);
        nowMs.addAndGet(tookMs);
        call.complete("");
    }

    @Nested
    class Timeouts {

        private void fail() {
            CompletableFuture<String> call = new CompletableFuture<>();
            health.track(call);
            call.completeExceptionally(new PlatformException(PlatformException.Effect.UNKNOWN, "timed out"));
        }

        // A lost answer of a commit was noticed after 1.5 s, whatever the round trip.
        @Test
        void shouldNoticeALostAnswerSoonWhileTheStoreIsFast() {
            for (int i = 0; i < 20; i++) {
                call(5);
            }
            assertEquals(500, health.timeoutMs());
        }

        @Test
        void shouldWaitLongerWhileTheStoreIsSlow() {
            for (int i = 0; i < 20; i++) {
                call(700);
            }
            assertTrue(health.timeoutMs() >= 700, "timeout " + health.timeoutMs());
        }

        // A store that becomes a hundred times slower gives no answer within the timeout of before.
        @Test
        void shouldReachAStoreThatHasBecomeSlow() {
            for (int i = 0; i < 20; i++) {
                call(5);
            }
            fail();
            assertEquals(1_000, health.timeoutMs());
            fail();
            assertEquals(1_500, health.timeoutMs());
            call(1_200);
            assertTrue(health.timeoutMs() >= 1_200, "timeout " + health.timeoutMs());
        }
    }

    @Nested
    class RoundTrip {

        @Test
        void shouldIgnoreDurationOfLongPolls() {
            for (int i = 0; i < 20; i++) {
                call(4);
                longPoll(1_000);
            }
            assertTrue(health.roundTripMs() <= 5, "round trip " + health.roundTripMs());
        }

        @Test
        void shouldIgnoreSlowFirstCall() {
            call(200);
            call(5);
            assertEquals(5, health.roundTripMs());
        }

        @Test
        void shouldIncreaseWhenStoreIsSlow() {
            for (int i = 0; i < 20; i++) {
                call(100);
            }
            assertTrue(health.roundTripMs() >= 90, "round trip " + health.roundTripMs());
        }
    }

    @Nested
    class Availability {

        private void fail() {
            health.track(CompletableFuture.failedFuture(
                    new PlatformException(PlatformException.Effect.UNKNOWN, "no answer")));
        }

        @Test
        void shouldBeUnavailableAfterTwoConsecutiveFailures() {
            fail();
            assertTrue(health.available());
            fail();
            assertFalse(health.available());
            call(4);
            assertTrue(health.available());
        }

        @Test
        void shouldResetFailuresOnAnsweredLongPoll() {
            fail();
            longPoll(1_000);
            fail();
            assertTrue(health.available());
        }
    }
}
