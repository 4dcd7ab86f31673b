package org.pollensill.dispatch;

import java.util.ArrayList;
import java.util.List;

import org.pollensill.job.TaskName;
import org.pollensill.runner.HoldOrder;
import org.pollensill.runner.RunnerAddress;
import org.pollensill.runner.StartOrder;

/** Records the orders that a dispatcher sends. */
final class RecordedOrders implements Orders {

    record Start(RunnerAddress to, StartOrder order) {}

    record Stop(RunnerAddress to, TaskName task, int run) {}

    record Hold(RunnerAddress to, HoldOrder order, long sequence) {}

    record Pace(RunnerAddress to, TaskName task, int run, int percent) {}

    final List<Start> starts = new ArrayList<>();
    final List<Stop> stops = new ArrayList<>();
    final List<Hold> holds = new ArrayList<>();
    final List<Pace> paces = new ArrayList<>();

    @Override
    public void start(RunnerAddress to, StartOrder order) {
        starts.add(new Start(to, order));
    }

    @Override
    public void stop(RunnerAddress to, TaskName task, int run) {
        stops.add(new Stop(to, task, run));
    }

    @Override
    public void hold(RunnerAddress to, HoldOrder order, long sequence) {
        holds.add(new Hold(to, order, sequence));
    }

    @Override
    public void pace(RunnerAddress to, TaskName task, int run, int percent) {
        paces.add(new Pace(to, task, run, percent));
    }
}
