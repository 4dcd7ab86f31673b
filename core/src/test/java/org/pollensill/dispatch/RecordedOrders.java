package org.pollensill.dispatch;

import java.util.ArrayList;
import java.util.List;

import org.pollensill.job.TaskName;
import org.pollensill.runner.RenewalOrder;
import org.pollensill.runner.RunnerAddress;
import org.pollensill.runner.StartOrder;

/** Records the orders that a dispatcher sends. */
final class RecordedOrders implements Orders {

    record Start(RunnerAddress to, StartOrder order) {}

    record Stop(RunnerAddress to, TaskName task, int run) {}

    record Renewal(RunnerAddress to, RenewalOrder order, long sequence) {}

    record Throttle(RunnerAddress to, TaskName task, int run, int percent) {}

    long answerTimeoutMs = 150;
    boolean congested;
    boolean mayStart = true;
    long maxLeaseMs = DispatchTiming.UNCONFIRMED_RENEWAL_LIMIT_MS;
    final List<Start> starts = new ArrayList<>();
    final List<Stop> stops = new ArrayList<>();
    final List<Renewal> renewals = new ArrayList<>();
    final List<Throttle> throttles = new ArrayList<>();

    @Override
    public void start(RunnerAddress to, StartOrder order) {
        starts.add(new Start(to, order));
    }

    @Override
    public void stop(RunnerAddress to, TaskName task, int run) {
        stops.add(new Stop(to, task, run));
    }

    @Override
    public void renewLease(RunnerAddress to, RenewalOrder order, long sequence) {
        renewals.add(new Renewal(to, order, sequence));
    }

    @Override
    public void throttle(RunnerAddress to, TaskName task, int run, int percent) {
        throttles.add(new Throttle(to, task, run, percent));
    }

    @Override
    public long answerTimeoutMs() {
        return answerTimeoutMs;
    }

    @Override
    public boolean mayStart() {
        return mayStart;
    }

    @Override
    public long maxLeaseMs() {
        return maxLeaseMs;
    }

    @Override
    public boolean congested() {
        return congested;
    }
}
