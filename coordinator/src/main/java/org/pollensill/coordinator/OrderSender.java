package org.pollensill.coordinator;

import org.pollensill.dispatch.Dispatcher;
import org.pollensill.dispatch.Orders;
import org.pollensill.job.TaskName;
import org.pollensill.runner.RenewalOrder;
import org.pollensill.runner.RunnerAddress;
import org.pollensill.runner.RunnerService;
import org.pollensill.runner.StartOrder;

/** Sends the dispatcher's orders to runners and passes their answers to it. */
final class OrderSender implements Orders {

    private final CoordinatorLoop loop;
    private final RunnerService runners;
    private final long fencingToken;
    private final Runnable afterAnswer;
    private Dispatcher dispatcher;
    private boolean closed;

    OrderSender(CoordinatorLoop loop, RunnerService runners, long fencingToken, Runnable afterAnswer) {
        this.loop = loop;
        this.runners = runners;
        this.fencingToken = fencingToken;
        this.afterAnswer = afterAnswer;
    }

    void attach(Dispatcher target) {
        dispatcher = target;
    }

    /** Stops sending orders; answers to orders in flight are dropped. */
    void close() {
        closed = true;
    }

    private void onAnswer(Runnable action) {
        loop.execute(() -> {
            if (!closed) {
                action.run();
                afterAnswer.run();
            }
        });
    }

    @Override
    public void start(RunnerAddress to, StartOrder order) {
        if (closed) {
            return;
        }
        runners.start(to, order)
                .thenAccept(answer ->
                        onAnswer(() -> dispatcher.onStart(order.task(), order.run(), to.id(), answer, loop.nowMs())));
    }

    @Override
    public void stop(RunnerAddress to, TaskName task, int run) {
        if (closed) {
            return;
        }
        runners.stop(to, task, run, fencingToken)
                .thenAccept(answer -> onAnswer(() -> dispatcher.onStop(task, run, to.id(), answer, loop.nowMs())));
    }

    @Override
    public void renewLease(RunnerAddress to, RenewalOrder order, long sequence) {
        if (closed) {
            return;
        }
        runners.renewLease(to, order)
                .thenAccept(answer -> onAnswer(() -> dispatcher.onRenewal(to.id(), sequence, answer, loop.nowMs())));
    }

    @Override
    public void throttle(RunnerAddress to, TaskName task, int run, int percent) {
        if (closed) {
            return;
        }
        // The answer is not needed: if later reports still show a high tail latency, the pace is sent again.
        runners.throttle(to, task, run, percent, fencingToken);
    }
}
