package org.pollensill.batch;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.LongConsumer;
import java.util.random.RandomGenerator;

import org.pollensill.worker.Interference;
import org.pollensill.worker.UsageEstimator;

/** Shared by the components of a shard's owner: state, log, workers, settings and the effects of the current input. */
final class ShardContext {

    private record DurabilityCallback(long position, LongConsumer action) {}

    final ShardPath path;
    final RandomGenerator random;
    final ShardState state;
    final ShardLog log;
    final WorkerPool pool;
    final UsageEstimator usage;
    final Interference interference;
    final List<Effect> effects = new ArrayList<>();
    private final Deque<DurabilityCallback> callbacks = new ArrayDeque<>();
    BatchSettings settings = BatchSettings.DEFAULTS;
    Ownership ownership = Ownership.NONE;

    ShardContext(
            ShardPath path,
            RandomGenerator random,
            ShardState state,
            ShardLog log,
            WorkerPool pool,
            UsageEstimator usage,
            Interference interference) {
        this.path = path;
        this.random = random;
        this.state = state;
        this.log = log;
        this.pool = pool;
        this.usage = usage;
        this.interference = interference;
    }

    /** Applies a record to the state and appends it to the log. */
    void append(LogRecord logRecord) {
        state.apply(logRecord, log.position() + 1);
        log.append(logRecord);
    }

    /** Runs an action with the current time once all records appended so far are durable. */
    void whenDurable(LongConsumer action) {
        callbacks.addLast(new DurabilityCallback(log.position(), action));
    }

    /** Runs the actions whose records have become durable. */
    void runDurableActions(long nowNs) {
        while (!callbacks.isEmpty() && callbacks.peekFirst().position() <= log.committedPosition()) {
            callbacks.pollFirst().action().accept(nowNs);
        }
    }

    void call(Run run, WorkerCall call) {
        effects.add(new Effect.CallWorker(run.worker.name(), run.worker.address(), call));
    }

    void event(int number, String message) {
        effects.add(new Effect.Event(number, message));
    }

    long epoch() {
        return ownership.epoch();
    }

    boolean isConfirmed() {
        return ownership.state() == Ownership.State.CONFIRMED;
    }

    boolean isDurable(Task task) {
        return task.position() <= log.committedPosition();
    }
}
