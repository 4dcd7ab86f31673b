package org.pollensill.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollensill.job.Trait;
import org.pollensill.queue.AdviceTiming;
import org.pollensill.queue.QueueCatalogue;
import org.pollensill.queue.QueuePolicy;
import org.pollensill.runner.AdviceAnswer;
import org.pollensill.runner.OrderAnswer;
import org.pollensill.runner.OrderOutcome;
import org.pollensill.runner.RenewalAnswer;
import org.pollensill.runner.RunnerEntry;
import org.pollensill.runner.RunnerReport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class AdvicePollerTest {

    private static final long T0 = 100_000;
    private static final long RUNNER_CLOCK_MS = 5_000;
    private static final long VALID_MS = 3_000;

    private final RecordedOrders orders = new RecordedOrders();
    private AdviceRequest lastRequest;
    private final Dispatcher dispatcher =
            Dispatcher.takeOver(7, InheritedLeases.unrecorded(T0), "progress/", orders, new CountingListener());

    private void becomeLeader(String... ids) {
        AdviceTiming adviceTiming = new AdviceTiming(20, 2, VALID_MS);
        dispatcher.setCatalogue(new QueueCatalogue(
                1,
                List.of(new QueuePolicy(
                        "matches", "host", "/matches/", "pad-desk", 0, 2, 2.0, 500, Optional.of(adviceTiming)))));
        dispatcher.startOrders();
        List<RunnerEntry> entries = new ArrayList<>();
        for (String id : ids) {
            entries.add(Samples.runner(id));
        }
        dispatcher.updateRunners(entries);
        dispatcher.tick(T0, T0, true);
        for (RecordedOrders.Renewal renewal : List.copyOf(orders.renewals)) {
            RunnerReport report = new RunnerReport(RUNNER_CLOCK_MS, 1, List.of(), List.of());
            dispatcher.onRenewal(
                    renewal.to().id(),
                    renewal.sequence(),
                    new RenewalAnswer(OrderOutcome.ACCEPTED, Optional.of(report)),
                    T0);
        }
        dispatcher.addJob(Samples.job("aaaaaaaaaaaaaaaa", Samples.step(1)), Optional.empty(), T0);
    }

    private void commit(long nowMs) {
        dispatcher.plan(nowMs).ifPresent(batch -> dispatcher.committed(batch, nowMs));
    }

    private AdviceRequest request(long nowMs) {
        lastRequest = dispatcher.nextAdvice(nowMs).orElseThrow();
        return lastRequest;
    }

    private void allow(AdviceRequest request, String runner, long nowMs) {
        dispatcher.onAdvice(request, new AdviceAnswer.Decided(Map.of(runner, "ticket-" + runner), VALID_MS), nowMs);
    }

    @Nested
    class OverdueSteps {

        // Without a request of its own the task would wait for as long as short jobs need advice.
        @Test
        void shouldAskForAnOverdueTaskBeforeShortOnesThatKeepComing() {
            becomeLeader("r1", "r2");
            String longRunning = "bbbbbbbbbbbbbbbb";
            dispatcher.addJob(Samples.job(longRunning, Samples.step(1, Trait.RESTART_ALWAYS)), Optional.empty(), T0);
            long overdueMs = T0 + CapacityReservations.MAX_OVERTAKEN_MS;
            dispatcher.addJob(Samples.job("cccccccccccccccc", Samples.step(1)), Optional.empty(), overdueMs - 50);
            assertEquals(
                    "cccccccccccccccc",
                    request(overdueMs - 50).step().job.request.id());
            dispatcher.onAdvice(lastRequest, new AdviceAnswer.Decided(Map.of(), VALID_MS), overdueMs - 10);
            dispatcher.addJob(Samples.job("dddddddddddddddd", Samples.step(1)), Optional.empty(), overdueMs);
            assertEquals(longRunning, request(overdueMs).step().job.request.id());
        }

        // Overdue tasks that no runner can take need advice again and again.
        @Test
        void shouldAskForShortTasksBesideOverdueOnes() {
            becomeLeader("r1", "r2");
            long overdueMs = T0 + CapacityReservations.MAX_OVERTAKEN_MS;
            for (String job : List.of("bbbbbbbbbbbbbbbb", "cccccccccccccccc")) {
                dispatcher.addJob(Samples.job(job, Samples.step(1, Trait.RESTART_ALWAYS)), Optional.empty(), T0);
            }
            dispatcher.addJob(Samples.job("dddddddddddddddd", Samples.step(1)), Optional.empty(), overdueMs);
            assertTrue(request(overdueMs).step().spec.hasTrait(Trait.RESTART_ALWAYS));
            dispatcher.onAdvice(lastRequest, new AdviceAnswer.Failed("no answer"), overdueMs + 10);
            assertTrue(request(overdueMs + 1_000).step().runsToCompletion());
        }
    }

    @Nested
    class Starts {

        @Test
        void shouldStartNothingWithoutATicket() {
            becomeLeader("r1", "r2");
            commit(T0);
            assertTrue(orders.starts.isEmpty());
        }

        @Test
        void shouldStartOnAnAllowedRunnerWithItsTicket() {
            becomeLeader("r1", "r2");
            allow(request(T0), "r2", T0 + 24);
            commit(T0 + 24);
            assertEquals("r2", orders.starts.get(0).to().id());
            assertEquals(Optional.of("ticket-r2"), orders.starts.get(0).order().ticket());
        }

        @Test
        void shouldRequestAgainWhenTheTicketIsAboutToExpire() {
            becomeLeader("r1", "r2");
            allow(request(T0), "r2", T0 + 24);
            long nearExpiryMs = T0 + VALID_MS - Tickets.MIN_VALIDITY_MS + 1;
            commit(nearExpiryMs);
            assertTrue(orders.starts.isEmpty());
            assertEquals(List.of("r2"), request(nearExpiryMs).runnerIds());
        }

        @Test
        void shouldNotUseATicketForTheNextIncarnationOfARunner() {
            becomeLeader("r1");
            allow(request(T0), "r1", T0 + 24);
            dispatcher.updateRunners(List.of(Samples.runner("r1", 2, false)));
            dispatcher.tick(T0 + 30, T0 + 30, true);
            RecordedOrders.Renewal renewal = orders.renewals.get(orders.renewals.size() - 1);
            RunnerReport report = new RunnerReport(RUNNER_CLOCK_MS, 2, List.of(), List.of());
            dispatcher.onRenewal(
                    "r1", renewal.sequence(), new RenewalAnswer(OrderOutcome.ACCEPTED, Optional.of(report)), T0 + 40);
            commit(T0 + 41);
            assertTrue(orders.starts.isEmpty());
        }

        @Test
        void shouldRequestAgainAfterTheRunnerRejectsTheTicket() {
            becomeLeader("r1");
            allow(request(T0), "r1", T0 + 24);
            commit(T0 + 24);
            RecordedOrders.Start start = orders.starts.remove(0);
            dispatcher.onStart(
                    start.order().task(),
                    1,
                    "r1",
                    new OrderAnswer(OrderOutcome.NO_TICKET, Optional.of(RUNNER_CLOCK_MS)),
                    T0 + 30);
            commit(T0 + 31);
            assertTrue(orders.starts.isEmpty());
            assertEquals(List.of("r1"), request(T0 + 31).runnerIds());
        }
    }

    @Nested
    class Requests {

        @Test
        void shouldKeepOneRequestInFlight() {
            becomeLeader("r1");
            request(T0);
            assertTrue(dispatcher.nextAdvice(T0 + 1).isEmpty());
        }

        @Test
        void shouldNotRequestAgainForARefusedRunner() {
            becomeLeader("r1", "r2");
            dispatcher.onAdvice(request(T0), new AdviceAnswer.Decided(Map.of(), VALID_MS), T0 + 24);
            assertTrue(dispatcher.nextAdvice(T0 + 25).isEmpty());
        }

        @Test
        void shouldDoubleTheBackOffAfterEachFailure() {
            becomeLeader("r1");
            dispatcher.onAdvice(request(T0), new AdviceAnswer.Limited(), T0);
            assertTrue(dispatcher.nextAdvice(T0 + 99).isEmpty());
            dispatcher.onAdvice(request(T0 + 100), new AdviceAnswer.Failed("no answer"), T0 + 100);
            assertTrue(dispatcher.nextAdvice(T0 + 299).isEmpty());
            assertTrue(dispatcher.nextAdvice(T0 + 300).isPresent());
        }

        @Test
        void shouldNotRequestWhileTicketsSuffice() {
            becomeLeader("r1", "r2");
            allow(request(T0), "r2", T0 + 24);
            assertTrue(dispatcher.nextAdvice(T0 + 25).isEmpty());
        }
    }
}
