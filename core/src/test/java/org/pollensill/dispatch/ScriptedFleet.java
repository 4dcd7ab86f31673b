package org.pollensill.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.pollensill.job.JobRequest;
import org.pollensill.job.StepSpec;
import org.pollensill.job.TaskName;
import org.pollensill.job.Trait;
import org.pollensill.runner.EndKind;
import org.pollensill.runner.OrderAnswer;
import org.pollensill.runner.OrderOutcome;
import org.pollensill.runner.RenewalAnswer;
import org.pollensill.runner.RunnerEntry;
import org.pollensill.runner.RunnerReport;

/**
 * Runners that carry out the recorded orders of a dispatcher when a test says so. Their true state may differ from
 * what they have reported. All jobs have one step.
 */
final class ScriptedFleet {

    private static final long T0 = DispatcherFixture.T0;

    /** True state of a runner. */
    private static final class ScriptedRunner {
        private RunnerEntry entry;
        private final Map<TaskName, Integer> running = new LinkedHashMap<>();
        private final List<RunnerReport.EndedRun> ended = new ArrayList<>();
        private Optional<RecordedOrders.Renewal> outstanding = Optional.empty();
        private long lastEnd;

        private ScriptedRunner(RunnerEntry entry) {
            this.entry = entry;
        }
    }

    private final Dispatcher dispatcher;
    private final RecordedOrders orders;
    private final Map<String, ScriptedRunner> runners = new LinkedHashMap<>();
    private final Map<String, StepSpec> steps = new HashMap<>();
    private final Map<TaskName, Integer> percents = new HashMap<>();
    private final Map<TaskName, Long> tailLatenciesMs = new HashMap<>();
    private final Map<TaskName, Long> waitingSinceMs = new LinkedHashMap<>();

    ScriptedFleet(Dispatcher dispatcher, RecordedOrders orders, List<RunnerEntry> entries) {
        this.dispatcher = dispatcher;
        this.orders = orders;
        for (RunnerEntry entry : entries) {
            runners.put(entry.id(), new ScriptedRunner(entry));
        }
        dispatcher.startOrders();
        dispatcher.updateRunners(entries);
        report(T0);
    }

    void addJob(String id, StepSpec step, long addedAtMs) {
        addJob(Samples.job(id, step), addedAtMs);
    }

    void addJob(JobRequest job, long addedAtMs) {
        steps.put(job.id(), job.steps().get(0));
        dispatcher.addJob(job, Optional.empty(), addedAtMs);
    }

    /** Updates the list of runners; those that are no longer listed keep running. */
    void updateRunners(List<RunnerEntry> entries) {
        for (RunnerEntry entry : entries) {
            runners.computeIfAbsent(entry.id(), id -> new ScriptedRunner(entry)).entry = entry;
        }
        dispatcher.updateRunners(entries);
    }

    /** Sets the progress that a task reports; others report 100 if they are long-running and 50 if not. */
    void setPercent(TaskName task, int percent) {
        percents.put(task, percent);
    }

    /** Sets the tail latency that a task reports. */
    void setTailLatency(TaskName task, long tailLatencyMs) {
        tailLatenciesMs.put(task, tailLatencyMs);
    }

    /** Places and commits, and lets the runners carry out all stops and starts at once. */
    void plan(long nowMs) {
        commit(nowMs);
        carryOut(nowMs);
    }

    /** Places and commits; the orders are recorded and not yet carried out. */
    void commit(long nowMs) {
        dispatcher.plan(nowMs).ifPresent(batch -> dispatcher.committed(batch, nowMs));
    }

    /** Lets the runners carry out the recorded stops and starts. */
    void carryOut(long nowMs) {
        for (RecordedOrders.Stop stop : List.copyOf(orders.stops)) {
            if (runners.get(stop.to().id()).running.containsKey(stop.task())) {
                end(stop.task(), EndKind.STOPPED, nowMs);
            }
            dispatcher.onStop(stop.task(), stop.run(), stop.to().id(), accepted(nowMs), nowMs);
        }
        orders.stops.clear();
        for (RecordedOrders.Start start : List.copyOf(orders.starts)) {
            runners.get(start.to().id())
                    .running
                    .put(start.order().task(), start.order().run());
            waitingSinceMs.remove(start.order().task());
            dispatcher.onStart(
                    start.order().task(), start.order().run(), start.to().id(), accepted(nowMs), nowMs);
        }
        orders.starts.clear();
    }

    private static OrderAnswer accepted(long nowMs) {
        return new OrderAnswer(OrderOutcome.ACCEPTED, Optional.of(DispatcherFixture.RUNNER_CLOCK_MS + nowMs - T0));
    }

    /** Ends the run of a task on its runner, without a report. */
    void end(TaskName task, EndKind kind, long nowMs) {
        for (ScriptedRunner runner : runners.values()) {
            Integer run = runner.running.remove(task);
            if (run != null) {
                runner.lastEnd++;
                runner.ended.add(new RunnerReport.EndedRun(runner.lastEnd, task, run, kind, ""));
                waitingSinceMs.put(task, nowMs);
            }
        }
    }

    /** Ends the runs of a job as done, without a report. */
    void endJob(String id, long nowMs) {
        endJob(id, EndKind.DONE, nowMs);
    }

    void endJob(String id, EndKind kind, long nowMs) {
        for (int i = 0; i < steps.get(id).count(); i++) {
            end(new TaskName(id, 0, 0, i), kind, nowMs);
        }
    }

    /** Ends the oldest run of a short task on a runner as done, without a report. */
    void endOneShort(String runnerId, long nowMs) {
        for (TaskName task : List.copyOf(runners.get(runnerId).running.keySet())) {
            if (!steps.get(task.jobId()).hasTrait(Trait.RESTART_ALWAYS)) {
                end(task, EndKind.DONE, nowMs);
                return;
            }
        }
    }

    /** Sends due renewals and lets the given runners, or all if none is given, answer theirs. */
    void report(long nowMs, String... ids) {
        dispatcher.tick(nowMs, nowMs, true);
        for (RecordedOrders.Renewal renewal : orders.renewals) {
            ScriptedRunner runner = runners.get(renewal.to().id());
            runner.outstanding = Optional.of(renewal);
            runner.ended.removeIf(end -> end.sequence() <= renewal.order().acknowledgedSequence());
        }
        orders.renewals.clear();
        for (String id : ids.length == 0 ? runners.keySet() : List.of(ids)) {
            answerRenewal(runners.get(id), nowMs);
        }
    }

    private void answerRenewal(ScriptedRunner runner, long nowMs) {
        if (runner.outstanding.isEmpty()) {
            return;
        }
        List<RunnerReport.RunningTask> rows = new ArrayList<>();
        runner.running.forEach((task, run) -> rows.add(
                new RunnerReport.RunningTask(task, run, "", percentOf(task), tailLatenciesMs.getOrDefault(task, 0L))));
        RunnerReport report = new RunnerReport(DispatcherFixture.RUNNER_CLOCK_MS + nowMs - T0, 1, rows, runner.ended);
        long sequence = runner.outstanding.get().sequence();
        runner.outstanding = Optional.empty();
        dispatcher.onRenewal(
                runner.entry.id(), sequence, new RenewalAnswer(OrderOutcome.ACCEPTED, Optional.of(report)), nowMs);
    }

    private int percentOf(TaskName task) {
        boolean longRunning = steps.get(task.jobId()).hasTrait(Trait.RESTART_ALWAYS);
        return percents.getOrDefault(task, longRunning ? 100 : 50);
    }

    boolean isRunning(TaskName task) {
        return runnerOf(task).isPresent();
    }

    Optional<String> runnerOf(TaskName task) {
        for (ScriptedRunner runner : runners.values()) {
            if (runner.running.containsKey(task)) {
                return Optional.of(runner.entry.id());
            }
        }
        return Optional.empty();
    }

    /** Returns the tasks of a job that do not run. */
    List<TaskName> waitingTasks(String jobId) {
        List<TaskName> waiting = new ArrayList<>();
        for (int i = 0; i < steps.get(jobId).count(); i++) {
            TaskName task = new TaskName(jobId, 0, 0, i);
            if (!isRunning(task)) {
                waiting.add(task);
            }
        }
        return waiting;
    }

    /** Returns the time since which a task that has run before does not run. */
    long waitingSinceMs(TaskName task) {
        return waitingSinceMs.get(task);
    }

    /** Returns the runners with free capacity for a task, with the number of tasks like it that fit. */
    Map<String, Integer> capacityFor(TaskName task) {
        Map<String, Integer> found = new LinkedHashMap<>();
        for (ScriptedRunner runner : runners.values()) {
            int fitting = LongRunningPromise.countFitting(
                    task, runner.entry.capacity(), runner.running.keySet(), other -> steps.get(other.jobId()));
            if (fitting > 0 && !runner.entry.draining()) {
                found.put(runner.entry.id(), fitting);
            }
        }
        return found;
    }
}
