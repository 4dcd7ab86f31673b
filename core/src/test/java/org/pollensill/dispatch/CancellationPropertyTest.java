package org.pollensill.dispatch;

import java.util.List;
import java.util.Optional;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.pollensill.job.JobStatus;
import org.pollensill.runner.OrderOutcome;
import org.pollensill.runner.RenewalAnswer;
import org.pollensill.runner.RunnerReport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** A job and its cancellation, which the store may carry out in either order. */
class CancellationPropertyTest {

    private static final String JOB = "aaaaaaaaaaaaaaaa";

    /** What may happen, in any order and repeatedly. */
    enum Happening {
        JOB_STORED,
        CANCELLATION_STORED,
        ROWS_READ_AGAIN,
        TAKEOVER,
        TIME_PASSES
    }

    /** The rows in the store, and the leader of the moment. */
    private static final class Play {

        private final RecordedOrders orders = new RecordedOrders();
        private boolean jobStored;
        private boolean cancellationStored;
        private long fencingToken;
        private long nowMs = 100_000;
        private Dispatcher dispatcher;

        private void takeOver() {
            dispatcher = Dispatcher.takeOver(
                    ++fencingToken, InheritedLeases.unrecorded(nowMs), "", orders, new CountingListener());
            dispatcher.setCatalogue(Samples.catalogue(2));
            deliverRows();
            dispatcher.startOrders();
            dispatcher.updateRunners(List.of(Samples.runner("r1")));
        }

        private void deliverRows() {
            if (cancellationStored) {
                dispatcher.cancel(JOB, nowMs);
            }
            if (jobStored) {
                dispatcher.addJob(Samples.job(JOB, Samples.step(1)), Optional.empty(), nowMs);
            }
        }

        /** Plays a round of the leader; returns whether it placed a task. */
        private boolean placed() {
            nowMs += 50;
            dispatcher.tick(nowMs, nowMs, true);
            orders.renewals.forEach(renewal -> dispatcher.onRenewal(
                    "r1",
                    renewal.sequence(),
                    new RenewalAnswer(
                            OrderOutcome.ACCEPTED, Optional.of(new RunnerReport(nowMs, 1, List.of(), List.of()))),
                    nowMs));
            orders.renewals.clear();
            Optional<Batch> batch = dispatcher.plan(nowMs);
            boolean placed = batch.isPresent() && !batch.get().placements().isEmpty();
            batch.ifPresent(found -> dispatcher.committed(found, nowMs));
            return placed;
        }
    }

    // Guards against a start after the cancelling was acknowledged, whichever of the two rows comes first.
    @Property(tries = 500, seed = "355")
    void shouldNotPlaceATaskOnceTheCancellationIsStored(@ForAll @Size(min = 2, max = 12) List<Happening> happenings) {
        Play play = new Play();
        play.takeOver();
        for (Happening happening : happenings) {
            switch (happening) {
                case JOB_STORED -> play.jobStored = true;
                case CANCELLATION_STORED -> play.cancellationStored = true;
                case TAKEOVER -> play.takeOver();
                default -> play.nowMs += 10;
            }
            if (happening != Happening.TIME_PASSES) {
                play.deliverRows();
            }
            boolean placed = play.placed();
            assertTrue(!placed || !play.cancellationStored, () -> "placed after the cancellation: " + happenings);
        }
        if (play.jobStored && play.cancellationStored) {
            play.deliverRows();
            assertEquals(Optional.of(JobStatus.CANCELLED), play.dispatcher.status(JOB));
        }
    }
}
