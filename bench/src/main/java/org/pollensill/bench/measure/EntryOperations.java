package org.pollensill.bench.measure;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Random;

import org.pollensill.contract.Attempt;
import org.pollensill.contract.Deadline;
import org.pollensill.contract.KindContract;
import org.pollensill.contract.OwnerPool;
import org.pollensill.contract.PoolEffect;
import org.pollensill.contract.RequestDescription;
import org.pollensill.contract.ServiceContract;
import org.pollensill.upstream.EjectionPolicy;
import org.pollensill.upstream.SlotAllowance;

/** Operations of the entry daemon, on a simulated clock that advances by 10 microseconds per call. */
final class EntryOperations {

    private static final long CLOCK_STEP_NS = 10_000;
    private static final long DEADLINE_MS = 3_600_000;
    private static final int SLOTS_PER_UPSTREAM = 8;

    private final OwnerPool pool;
    private final Deque<Attempt> runningAttempts = new ArrayDeque<>();
    private long nowNs = 1;
    private long sequence;

    private EntryOperations(int upstreams, int queueLimit) {
        KindContract kind = new KindContract(
                "seam-check",
                0,
                0.5,
                1,
                queueLimit,
                86_400_000,
                SLOTS_PER_UPSTREAM,
                true,
                DEADLINE_MS,
                0.99,
                DEADLINE_MS,
                28);
        ServiceContract contract = new ServiceContract("s", DEADLINE_MS, 0, 100, 1 << 20, Map.of(kind.kind(), kind));
        pool = OwnerPool.of(contract, EjectionPolicy.standard(), new Random(1), nowNs);
        for (int i = 0; i < upstreams; i++) {
            pool.addUpstream("u" + i, SLOTS_PER_UPSTREAM, 64, SlotAllowance.FULL, nowNs);
        }
    }

    private void recordDispatches(List<PoolEffect> effects) {
        for (PoolEffect effect : effects) {
            if (effect instanceof PoolEffect.Dispatch dispatch) {
                runningAttempts.add(dispatch.attempt());
            }
        }
    }

    private void submit() {
        nowNs += CLOCK_STEP_NS;
        String id = "r" + sequence++;
        recordDispatches(pool.submit(
                new RequestDescription(id, "seam-check", "c" + sequence % 50, true, Deadline.after(nowNs, DEADLINE_MS)),
                nowNs));
    }

    private void answerOldest() {
        nowNs += CLOCK_STEP_NS;
        recordDispatches(pool.answered(runningAttempts.remove(), false, nowNs));
    }

    /** Returns an operation that submits a request which is dispatched at once, and answers the oldest running one. */
    static Runnable dispatchedRequest(int upstreams) {
        EntryOperations operations = new EntryOperations(upstreams, 1000);
        for (int i = 0; i < upstreams * SLOTS_PER_UPSTREAM / 2; i++) {
            operations.submit();
        }
        return () -> {
            operations.submit();
            operations.answerOldest();
        };
    }

    /** Returns an operation that queues a request behind others, and frees a slot for the first of the queue. */
    static Runnable queuedRequest(int queued) {
        EntryOperations operations = new EntryOperations(11, queued + 10);
        for (int i = 0; i < 11 * SLOTS_PER_UPSTREAM + queued; i++) {
            operations.submit();
        }
        return () -> {
            operations.submit();
            operations.answerOldest();
        };
    }

    /** Returns an operation that submits a request which is refused because the queue is full. */
    static Runnable refusal(int queued) {
        EntryOperations operations = new EntryOperations(11, queued);
        for (int i = 0; i < 11 * SLOTS_PER_UPSTREAM + queued; i++) {
            operations.submit();
        }
        return operations::submit;
    }

    /** Returns an operation that runs one timer tick while half of the slots are in use. */
    static Runnable timerTick(int upstreams) {
        EntryOperations operations = new EntryOperations(upstreams, 1000);
        for (int i = 0; i < upstreams * SLOTS_PER_UPSTREAM / 2; i++) {
            operations.submit();
        }
        return () -> {
            operations.nowNs += 5_000_000;
            operations.recordDispatches(operations.pool.tick(operations.nowNs));
        };
    }
}
