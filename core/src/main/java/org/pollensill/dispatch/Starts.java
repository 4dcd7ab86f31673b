package org.pollensill.dispatch;

import java.util.Optional;

import org.pollensill.dispatch.DispatchListener.Cause;
import org.pollensill.job.TaskName;
import org.pollensill.runner.OrderAnswer;
import org.pollensill.runner.OrderOutcome;
import org.pollensill.runner.RunnerAddress;
import org.pollensill.runner.RunnerClock;
import org.pollensill.runner.StartOrder;

/** Sends the starts of recorded placements and follows their answers until it is known whether the run began. */
final class Starts {

    /** A start without an answer is repeated this often before the run is stopped; repeating it is harmless. */
    private static final int START_ATTEMPTS = 4;

    private final long fence;
    private final Orders orders;
    private final Fleet fleet;
    private final JobTable jobs;
    private final RunnerHealth health;
    private final Reports reports;

    Starts(long fence, Orders orders, Fleet fleet, JobTable jobs, RunnerHealth health, Reports reports) {
        this.fence = fence;
        this.orders = orders;
        this.fleet = fleet;
        this.jobs = jobs;
        this.health = health;
        this.reports = reports;
    }

    void send(TaskState task, long nowMs) {
        RunnerState runner = task.runner;
        Optional<RunnerAddress> to = runner.address();
        if (to.isEmpty() || runner.clock.isEmpty()) {
            reports.lose(task, Cause.RUNNER_RESTARTED, nowMs, 0);
            return;
        }
        long untilMs = runner.clock.get().leastMs(nowMs) + DispatchTiming.START_LEASE_MS;
        runner.grantUntil(untilMs);
        task.startAttempts++;
        orders.start(
                to.get(),
                new StartOrder(
                        task.name,
                        task.run,
                        task.step.job.request.payload(),
                        untilMs,
                        fence,
                        task.checkpoint,
                        task.step.tickets.forRunner(runner, nowMs)));
    }

    void onStart(TaskName name, int run, String runnerId, OrderAnswer answer, long nowMs) {
        Optional<RunnerState> found = fleet.get(runnerId);
        Optional<TaskState> ordered = jobs.task(name);
        if (found.isEmpty() || ordered.isEmpty()) {
            return;
        }
        RunnerState runner = found.get();
        TaskState task = ordered.get();
        if (task.run != run || task.runner != runner || task.phase != TaskState.Phase.ORDERED) {
            return;
        }
        switch (answer.outcome()) {
            case ACCEPTED:
                answer.clockMs().ifPresent(clockMs -> runner.clock = Optional.of(RunnerClock.of(clockMs, nowMs)));
                reports.confirm(task, runner);
                return;
            case UNANSWERED, FENCED:
                onUnknownStart(task, answer.outcome(), nowMs);
                return;
            case OTHER_RUNNER:
                reports.endLife(runner, nowMs);
                runner.listed = false;
                return;
            case NO_TICKET:
                task.step.tickets.drop(runner.id);
                break;
            case NO_ROOM:
                runner.noRoomEndMs = nowMs + DispatchTiming.NO_ROOM_MS;
                break;
            case UNHEALTHY:
                health.failed(runner, name.jobId(), nowMs);
                runner.noRoomEndMs = nowMs + DispatchTiming.NO_ROOM_MS;
                break;
            default:
                runner.noRoomEndMs = nowMs + DispatchTiming.RETRY_MS;
                break;
        }
        if (task.startAttempts > 1) {
            // An earlier attempt of the same run had no answer and may still be carried out.
            reports.stop(task, Cause.REFUSED, nowMs);
            return;
        }
        reports.lose(task, Cause.REFUSED, nowMs, 0);
    }

    private void onUnknownStart(TaskState task, OrderOutcome outcome, long nowMs) {
        if (outcome == OrderOutcome.UNANSWERED && !task.stopping && task.startAttempts < START_ATTEMPTS) {
            send(task, nowMs);
            return;
        }
        reports.stop(task, Cause.REFUSED, nowMs);
    }

    void onStop(TaskName name, int run, String runnerId, OrderAnswer answer, long nowMs) {
        Optional<RunnerState> runner = fleet.get(runnerId);
        if (runner.isEmpty()) {
            return;
        }
        TaskState task = runner.get().tasks.get(name);
        if (task == null || task.run != run) {
            return;
        }
        boolean settled = answer.outcome() == OrderOutcome.ACCEPTED || answer.outcome() == OrderOutcome.OLD_RUN;
        if (settled && task.phase == TaskState.Phase.ORDERED) {
            // The run cannot begin any more, so the next report tells whether it had begun.
            task.confirmedAtHold = runner.get().holdSequence;
            runner.get().nextHoldAtMs = nowMs;
        }
    }
}
