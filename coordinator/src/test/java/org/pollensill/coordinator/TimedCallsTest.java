package org.pollensill.coordinator;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against answers that are thrown away because they came late, and against timeouts of a delayed process. */
class TimedCallsTest {

    private static final String RUNNER = "r1";
    private static final String FAILURE = "failure";

    private final ManualTimer timer = new ManualTimer();
    private final List<String> events = new ArrayList<>();
    private boolean active = true;
    private final TimedCalls calls = new TimedCalls(
            timer::nowMs,
            timer,
            Runnable::run,
            new CoordinatorMetrics(new PrometheusRegistry()),
            () -> active,
            () -> {});

    private CompletableFuture<String> send(long waitMs) {
        CompletableFuture<String> answer = new CompletableFuture<>();
        calls.send(RUNNER, waitMs, 0, patienceMs -> answer, new TimedCalls.Handler<>() {
            @Override
            public boolean isAnswer(String result) {
                return !result.equals(FAILURE);
            }

            @Override
            public void onAnswer(String result) {
                events.add(result);
            }

            @Override
            public void onTimeout() {
                events.add("timeout");
            }
        });
        return answer;
    }

    private void answerAfter(long delayMs, int times) {
        for (int i = 0; i < times; i++) {
            CompletableFuture<String> answer = send(0);
            timer.advance(delayMs);
            answer.complete("answer");
        }
    }

    @Test
    void shouldPassOnALateAnswerAfterTheTimeout() {
        CompletableFuture<String> answer = send(0);
        timer.advance(1_000);
        assertEquals(List.of("timeout"), events);
        answer.complete("late");
        assertEquals(List.of("timeout", "late"), events);
    }

    @Test
    void shouldReportAFailedCallOnce() {
        CompletableFuture<String> answer = send(0);
        timer.advance(1_000);
        answer.complete(FAILURE);
        assertEquals(List.of("timeout"), events);
    }

    @Test
    void shouldReportAFailureAtOnce() {
        send(0).complete(FAILURE);
        assertEquals(List.of("timeout"), events);
    }

    @Test
    void shouldReportAnUnexpectedExceptionAsATimeout() {
        send(0).completeExceptionally(new IllegalStateException("unexpected"));
        assertEquals(List.of("timeout"), events);
    }

    @Test
    void shouldNotCountItsOwnDelayAsSilenceOfTheRunner() {
        CompletableFuture<String> answer = send(0);
        timer.pause(5_000);
        timer.advance(0);
        assertEquals(List.of(), events);
        answer.complete("answer");
        timer.advance(10_000);
        assertEquals(List.of("answer"), events);
    }

    // A fixed timeout gave up each of these calls and repeated it.
    @Test
    void shouldStopTimingOutWhenAllAnswersTakeTenTimesAsLong() {
        answerAfter(60, 30);
        answerAfter(600, 10);
        events.clear();
        answerAfter(600, 50);
        assertFalse(events.contains("timeout"));
        assertTrue(calls.congested());
    }

    @Test
    void shouldReturnToTheMinimumTimeoutAfterTheDelay() {
        answerAfter(600, 50);
        answerAfter(20, 80);
        assertFalse(calls.congested());
        assertEquals(150, calls.timeoutMs());
    }

    @Test
    void shouldNotMeasureALongPollThatIsAnsweredEarly() {
        answerAfter(20, 50);
        for (int i = 0; i < 30; i++) {
            CompletableFuture<String> answer = send(1_200);
            timer.advance(900);
            answer.complete("report");
        }
        assertEquals(150, calls.timeoutMs());
    }

    @Test
    void shouldDropOutcomesOnceTheLeaderHasStopped() {
        CompletableFuture<String> answer = send(0);
        active = false;
        answer.complete("answer");
        timer.advance(10_000);
        assertEquals(List.of(), events);
    }
}
