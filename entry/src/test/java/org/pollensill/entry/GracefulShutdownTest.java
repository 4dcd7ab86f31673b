package org.pollensill.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Guards against a shutdown that interrupts requests in progress, and against one that never completes. */
class GracefulShutdownTest {

    private static final List<String> STEP_ORDER =
            List.of("handOver", "stopCallers", "refuseForwards", "writeCounters", "close");

    private final FakeSteps steps = new FakeSteps();

    @Nested
    class RequestsInProgress {

        @Test
        void shouldHandOverSlicesBeforeCallersAreRefused() {
            new GracefulShutdown(steps).run(10_000);
            assertEquals(STEP_ORDER, steps.calls);
        }

        @Test
        void shouldCloseOnlyWhenForwardedRequestsHaveEnded() {
            steps.pending = 3;
            new GracefulShutdown(steps).run(10_000);
            assertEquals(0, steps.pendingAtClose);
        }
    }

    @Nested
    class StepsThatDoNotComplete {

        @Test
        void shouldContinueWhenSlicesCannotBeHandedOver() {
            steps.handOverResult = new CompletableFuture<>();
            new GracefulShutdown(steps).run(20);
            assertEquals(STEP_ORDER, steps.calls);
        }

        @Test
        void shouldCloseAtDrainLimitWhenCallerRequestNeverEnds() {
            steps.callersStoppedResult = new CompletableFuture<>();
            new GracefulShutdown(steps).run(20);
            assertEquals(STEP_ORDER, steps.calls);
        }

        @Test
        void shouldContinueWhenCountersCannotBeWritten() {
            steps.countersWrittenResult = CompletableFuture.failedFuture(new IllegalStateException("store down"));
            new GracefulShutdown(steps).run(10_000);
            assertEquals(STEP_ORDER, steps.calls);
        }
    }

    private static final class FakeSteps implements GracefulShutdown.Steps {

        private final List<String> calls = new ArrayList<>();
        private CompletableFuture<Void> handOverResult = CompletableFuture.completedFuture(null);
        private CompletableFuture<Void> callersStoppedResult = CompletableFuture.completedFuture(null);
        private CompletableFuture<Boolean> countersWrittenResult = CompletableFuture.completedFuture(true);
        private int pending;
        private int pendingAtClose = -1;

        @Override
        public CompletableFuture<Void> handOver() {
            calls.add("handOver");
            return handOverResult;
        }

        @Override
        public CompletableFuture<Void> stopCallers() {
            calls.add("stopCallers");
            return callersStoppedResult;
        }

        @Override
        public void refuseForwards() {
            calls.add("refuseForwards");
        }

        /** Returns one request fewer on each call. */
        @Override
        public int pending() {
            return pending == 0 ? 0 : pending--;
        }

        @Override
        public CompletableFuture<Boolean> writeCounters() {
            calls.add("writeCounters");
            return countersWrittenResult;
        }

        @Override
        public void close() {
            calls.add("close");
            pendingAtClose = pending;
        }
    }
}
