package org.pollensill.coordinator;

import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import org.pollensill.dispatch.Dispatcher;
import org.pollensill.dispatch.Orders;
import org.pollensill.job.TaskName;
import org.pollensill.runner.OrderAnswer;
import org.pollensill.runner.OrderOutcome;
import org.pollensill.runner.RenewalAnswer;
import org.pollensill.runner.RenewalOrder;
import org.pollensill.runner.RunnerAddress;
import org.pollensill.runner.RunnerService;
import org.pollensill.runner.StartOrder;

/** Sends the dispatcher's orders to runners and passes their answers to it, also late ones. */
final class OrderSender implements Orders {

    /** Minimum timeout of a report beyond its long-poll wait; covers a TCP retransmission after 200 ms. */
    private static final long MIN_REPORT_TIMEOUT_MS = 350;

    private static final OrderAnswer UNANSWERED_ORDER = new OrderAnswer(OrderOutcome.UNANSWERED, Optional.empty());
    private static final RenewalAnswer UNANSWERED_RENEWAL =
            new RenewalAnswer(OrderOutcome.UNANSWERED, Optional.empty());

    private final CoordinatorLoop loop;
    private final RunnerService runners;
    private final long fencingToken;
    private final BooleanSupplier mayStart;
    private final LongSupplier maxLeaseMs;
    private final TimedCalls calls;
    private Dispatcher dispatcher;
    private boolean closed;

    OrderSender(
            CoordinatorLoop loop,
            RunnerService runners,
            CoordinatorMetrics metrics,
            long fencingToken,
            BooleanSupplier mayStart,
            LongSupplier maxLeaseMs,
            Runnable afterAnswer) {
        this.loop = loop;
        this.runners = runners;
        this.fencingToken = fencingToken;
        this.mayStart = mayStart;
        this.maxLeaseMs = maxLeaseMs;
        this.calls = new TimedCalls(loop::nowMs, loop::schedule, loop::execute, metrics, () -> !closed, afterAnswer);
    }

    void attach(Dispatcher target) {
        dispatcher = target;
    }

    /** Stops sending orders; answers to orders in flight are dropped. */
    void close() {
        closed = true;
    }

    @Override
    public void start(RunnerAddress to, StartOrder order) {
        sendOrder(
                to,
                patienceMs -> runners.start(to, order, patienceMs, mayStart),
                answer -> dispatcher.onStart(order.task(), order.run(), to.id(), answer, loop.nowMs()));
    }

    @Override
    public void stop(RunnerAddress to, TaskName task, int run) {
        sendOrder(
                to,
                patienceMs -> runners.stop(to, task, run, fencingToken, patienceMs),
                answer -> dispatcher.onStop(task, run, to.id(), answer, loop.nowMs()));
    }

    @Override
    public void throttle(RunnerAddress to, TaskName task, int run, int percent) {
        sendOrder(
                to,
                patienceMs -> runners.throttle(to, task, run, percent, fencingToken, patienceMs),
                answer -> dispatcher.onThrottle(task, run, percent, to.id(), answer, loop.nowMs()));
    }

    private void sendOrder(RunnerAddress to, TimedCalls.Call<OrderAnswer> call, Consumer<OrderAnswer> answerHandler) {
        if (closed) {
            return;
        }
        calls.send(to.id(), 0, 0, call, new TimedCalls.Handler<>() {
            @Override
            public boolean isAnswer(OrderAnswer answer) {
                return answer.outcome() != OrderOutcome.UNANSWERED;
            }

            @Override
            public void onAnswer(OrderAnswer answer) {
                answerHandler.accept(answer);
            }

            @Override
            public void onTimeout() {
                replaceConnections(to);
                answerHandler.accept(UNANSWERED_ORDER);
            }
        });
    }

    @Override
    public void renewLease(RunnerAddress to, RenewalOrder order, long sequence) {
        if (closed) {
            return;
        }
        TimedCalls.Call<RenewalAnswer> call = patienceMs -> runners.renewLease(to, order, patienceMs);
        calls.send(to.id(), order.waitMs(), MIN_REPORT_TIMEOUT_MS, call, new TimedCalls.Handler<>() {
            @Override
            public boolean isAnswer(RenewalAnswer answer) {
                return answer.outcome() != OrderOutcome.UNANSWERED;
            }

            @Override
            public void onAnswer(RenewalAnswer answer) {
                dispatcher.onRenewal(to.id(), sequence, answer, loop.nowMs());
            }

            @Override
            public void onTimeout() {
                replaceConnections(to);
                dispatcher.onRenewal(to.id(), sequence, UNANSWERED_RENEWAL, loop.nowMs());
            }
        });
    }

    /** Uses new connections from now on, unless answers are delayed anyway: new connections would delay them more. */
    private void replaceConnections(RunnerAddress to) {
        if (!calls.congested()) {
            runners.discardIdleConnections(to);
        }
    }

    @Override
    public long maxLeaseMs() {
        return maxLeaseMs.getAsLong();
    }

    @Override
    public long answerTimeoutMs() {
        return calls.timeoutMs();
    }

    @Override
    public boolean mayStart() {
        return mayStart.getAsBoolean();
    }

    @Override
    public boolean congested() {
        return calls.congested();
    }
}
