package org.pollensill.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollensill.job.JobCodec;
import org.pollensill.job.JobRequest;
import org.pollensill.job.JobSchedule;
import org.pollensill.job.JobStatus;
import org.pollensill.job.JobTerms;
import org.pollensill.job.TaskName;
import org.pollensill.json.JsonSyntaxException;
import org.pollensill.platform.Write;
import org.pollensill.queue.AdviceTiming;
import org.pollensill.queue.QueueCatalogue;
import org.pollensill.runner.EndKind;
import org.pollensill.runner.OrderAnswer;
import org.pollensill.runner.OrderOutcome;
import org.pollensill.runner.RenewalAnswer;
import org.pollensill.runner.RunnerReport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Jobs whose queue the configuration lacks for a time. */
class JobTermsPropertyTest {

    private static final String JOB = "aaaaaaaaaaaaaaaa";
    private static final int ATTEMPTS = 4;
    private static final long STEP_MS = 2_000;

    /** What may happen to a job, in any order. */
    enum Happening {
        QUEUE_REMOVED,
        QUEUE_ADDED,
        TAKEOVER,
        RUN_FAILS
    }

    /** A store, a runner, and the leader of the moment. */
    private static final class Play {

        private final Map<String, String> stored = new HashMap<>();
        private final JobRequest request;
        private QueueCatalogue catalogue = Samples.catalogue(ATTEMPTS);
        private RecordedOrders orders;
        private Dispatcher dispatcher;
        private long nowMs = 100_000;
        private long fencingToken;
        private long endSequence;
        private int failures;

        private Play(Optional<JobTerms> terms) throws JsonSyntaxException {
            request = new JobRequest(
                    JOB, "matches", "pad-desk", "", List.of(Samples.step(1)), JobSchedule.AT_ONCE, 0, terms);
            takeOver();
        }

        private void takeOver() throws JsonSyntaxException {
            orders = new RecordedOrders();
            dispatcher = Dispatcher.takeOver(
                    ++fencingToken, InheritedLeases.unrecorded(nowMs), "", orders, new CountingListener());
            dispatcher.setCatalogue(catalogue);
            String record = stored.get(JOB);
            dispatcher.addJob(
                    JobCodec.decode(JobCodec.encode(request)),
                    record == null ? Optional.empty() : Optional.of(JobCodec.decodeRecord(record)),
                    nowMs);
            dispatcher.startOrders();
            settle();
        }

        private void configure(boolean withQueue) {
            catalogue = withQueue ? Samples.catalogue(ATTEMPTS) : new QueueCatalogue(2, List.of());
            dispatcher.setCatalogue(catalogue);
            settle();
        }

        /** Lets the runner report what it runs, and the leader place and record. */
        private void settle() {
            for (int i = 0; i < 4; i++) {
                nowMs += STEP_MS / 4;
                dispatcher.updateRunners(List.of(Samples.runner("r1")));
                dispatcher.tick(nowMs, nowMs, true);
                answerRenewals(List.of());
                commit();
            }
        }

        private void answerRenewals(List<RunnerReport.EndedRun> ended) {
            for (RecordedOrders.Renewal renewal : List.copyOf(orders.renewals)) {
                List<RunnerReport.RunningTask> running = new ArrayList<>();
                if (ended.isEmpty()) {
                    currentRun()
                            .ifPresent(run -> running.add(
                                    new RunnerReport.RunningTask(new TaskName(JOB, 0, 0, 0), run, "", 50, 0)));
                }
                dispatcher.onRenewal(
                        "r1",
                        renewal.sequence(),
                        new RenewalAnswer(
                                OrderOutcome.ACCEPTED, Optional.of(new RunnerReport(nowMs, 1, running, ended))),
                        nowMs);
            }
            orders.renewals.clear();
        }

        private Optional<Integer> currentRun() {
            try {
                String record = stored.get(JOB);
                if (record == null) {
                    return Optional.empty();
                }
                return JobCodec.decodeRecord(record).tasks().stream()
                        .filter(task -> task.assignedRunner().isPresent())
                        .map(task -> task.run())
                        .findFirst();
            } catch (JsonSyntaxException e) {
                throw new IllegalStateException(e);
            }
        }

        private void commit() {
            Optional<Batch> batch = dispatcher.plan(nowMs);
            if (batch.isEmpty()) {
                return;
            }
            for (Write write : batch.get().writes()) {
                stored.put(write.key(), write.value().orElse(""));
            }
            dispatcher.committed(batch.get(), nowMs);
            for (RecordedOrders.Start start : List.copyOf(orders.starts)) {
                orders.starts.remove(start);
                dispatcher.onStart(
                        start.order().task(),
                        start.order().run(),
                        "r1",
                        new OrderAnswer(OrderOutcome.ACCEPTED, Optional.of(nowMs)),
                        nowMs);
            }
        }

        private void failRun() {
            Optional<Integer> run = currentRun();
            if (run.isEmpty()) {
                return;
            }
            failures++;
            dispatcher.tick(nowMs, nowMs, true);
            answerRenewals(List.of(new RunnerReport.EndedRun(
                    ++endSequence, new TaskName(JOB, 0, 0, 0), run.get(), EndKind.FAILED, "")));
            commit();
            settle();
        }

        private Optional<JobStatus> status() {
            return dispatcher.status(JOB);
        }
    }

    private static JobTerms terms() {
        return new JobTerms(0, ATTEMPTS, 2.0, 500, Optional.empty());
    }

    // Guards against a job that is shown as failed before its last attempt, since its queue is not configured for now.
    @Property(tries = 500, seed = "354")
    void shouldFailAJobOnlyAfterItsLastAttempt(@ForAll @Size(min = 1, max = 14) List<Happening> happenings)
            throws JsonSyntaxException {
        Play play = new Play(Optional.of(terms()));
        for (Happening happening : happenings) {
            switch (happening) {
                case QUEUE_REMOVED -> play.configure(false);
                case QUEUE_ADDED -> play.configure(true);
                case TAKEOVER -> play.takeOver();
                case RUN_FAILS -> play.failRun();
                default -> throw new IllegalStateException("unknown: " + happening);
            }
            boolean failed = play.status().equals(Optional.of(JobStatus.FAILED));
            assertEquals(play.failures >= ATTEMPTS, failed, () -> play.failures + " failed runs");
        }
    }

    @Nested
    class UnknownTerms {

        @Test
        void shouldWaitForTheConfigurationWhenTheTermsAreNotStored() throws JsonSyntaxException {
            Play play = new Play(Optional.empty());
            play.stored.clear();
            play.catalogue = new QueueCatalogue(2, List.of());
            play.takeOver();
            assertTrue(play.currentRun().isEmpty());
            play.configure(true);
            assertTrue(play.currentRun().isPresent());
        }

        @Test
        void shouldFailAnExhaustedJobOnceItsTermsAreKnown() throws JsonSyntaxException {
            Play play = new Play(Optional.empty());
            for (int i = 0; i < ATTEMPTS - 1; i++) {
                play.failRun();
            }
            play.catalogue = new QueueCatalogue(2, List.of());
            play.takeOver();
            play.failRun();
            assertEquals(Optional.of(JobStatus.RUNNING), play.status());
            play.configure(true);
            assertEquals(Optional.of(JobStatus.FAILED), play.status());
        }
    }

    @Nested
    class Advice {

        @Test
        void shouldStartNothingWithoutATicketWhenTheQueueIsRemoved() throws JsonSyntaxException {
            Play play = new Play(
                    Optional.of(new JobTerms(0, ATTEMPTS, 2.0, 500, Optional.of(new AdviceTiming(10, 1, 1_000)))));
            play.stored.clear();
            play.catalogue = new QueueCatalogue(2, List.of());
            play.takeOver();
            assertTrue(play.currentRun().isEmpty());
            assertTrue(play.dispatcher.nextAdvice(play.nowMs).isPresent());
        }
    }
}
