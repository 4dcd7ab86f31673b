package org.pollensill.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.pollensill.job.TaskName;
import org.pollensill.runner.EndKind;
import org.pollensill.runner.OrderAnswer;
import org.pollensill.runner.OrderOutcome;
import org.pollensill.runner.RenewalAnswer;
import org.pollensill.runner.RunnerReport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

/** A leading dispatcher whose orders are recorded, with the operations that its tests share. */
abstract class DispatcherFixture {

    static final long T0 = 100_000;
    static final long RUNNER_CLOCK_MS = 5_000;

    final RecordedOrders orders = new RecordedOrders();
    final CountingListener listener = new CountingListener();
    final Dispatcher dispatcher = Dispatcher.takeOver(7, InheritedLeases.unrecorded(T0), "progress/", orders, listener);

    void becomeLeader(String... runners) {
        dispatcher.setCatalogue(Samples.catalogue(2));
        dispatcher.startOrders();
        List<org.pollensill.runner.RunnerEntry> entries = new ArrayList<>();
        for (String id : runners) {
            entries.add(Samples.runner(id));
        }
        dispatcher.updateRunners(entries);
        dispatcher.tick(T0, T0, true);
        for (RecordedOrders.Renewal renewal : List.copyOf(orders.renewals)) {
            report(renewal, T0, List.of(), List.of());
        }
        orders.renewals.clear();
    }

    void report(
            RecordedOrders.Renewal renewal,
            long nowMs,
            List<RunnerReport.RunningTask> running,
            List<RunnerReport.EndedRun> ended) {
        RunnerReport report = new RunnerReport(RUNNER_CLOCK_MS + nowMs - T0, 1, running, ended);
        dispatcher.onRenewal(
                renewal.to().id(),
                renewal.sequence(),
                new RenewalAnswer(OrderOutcome.ACCEPTED, Optional.of(report)),
                nowMs);
    }

    void commit(long nowMs) {
        Optional<Batch> batch = dispatcher.plan(nowMs);
        batch.ifPresent(found -> dispatcher.committed(found, nowMs));
    }

    RecordedOrders.Start startOne(long nowMs) {
        commit(nowMs);
        assertEquals(1, orders.starts.size());
        RecordedOrders.Start start = orders.starts.remove(0);
        dispatcher.onStart(
                start.order().task(),
                start.order().run(),
                start.to().id(),
                new OrderAnswer(OrderOutcome.ACCEPTED, Optional.of(RUNNER_CLOCK_MS + nowMs - T0)),
                nowMs);
        return start;
    }

    RecordedOrders.Renewal nextRenewal(long nowMs) {
        dispatcher.tick(nowMs, nowMs, true);
        assertFalse(orders.renewals.isEmpty());
        return orders.renewals.remove(orders.renewals.size() - 1);
    }

    static RunnerReport.EndedRun end(long number, TaskName task, int run, EndKind kind) {
        return new RunnerReport.EndedRun(number, task, run, kind, "");
    }

    static RunnerReport.RunningTask running(RecordedOrders.Start start, int percent) {
        return new RunnerReport.RunningTask(start.order().task(), start.order().run(), "", percent, 0);
    }
}
