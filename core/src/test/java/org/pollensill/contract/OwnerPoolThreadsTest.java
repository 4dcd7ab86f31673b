package org.pollensill.contract;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.pollensill.upstream.EjectionPolicy;
import org.pollensill.upstream.SlotAllowance;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.pollensill.contract.TestContracts.kind;

/** Guards against lost updates and deadlocks when several event loops drive one pool. */
class OwnerPoolThreadsTest {

    private static final int THREADS = 6;
    private static final int REQUESTS = 4000;

    private final OwnerPool pool = OwnerPool.of(
            TestContracts.service(kind("match", 0, 0.3, 1, 50), kind("plan", 1, 0.2, 0.6, 50)),
            EjectionPolicy.standard(),
            new Random(1),
            0);
    private final AtomicInteger decided = new AtomicInteger();

    private void submitAndAnswer(int thread) {
        Random random = new Random(thread);
        List<Attempt> running = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            String kind = random.nextBoolean() ? "match" : "plan";
            collect(running, pool.submit(TestContracts.request(thread + "-" + i, kind, "c" + thread, 0, 60_000), 0));
            if (random.nextInt(50) == 0) {
                SlotAllowance allowance = SlotAllowance.values()[random.nextInt(SlotAllowance.values().length)];
                collect(running, pool.setAllowance(List.of("u1", "u2"), allowance, 0));
                pool.load();
                pool.connections().status();
            }
            while (running.size() > 2) {
                collect(running, pool.answered(running.remove(0), false, 0));
            }
        }
        while (!running.isEmpty()) {
            collect(running, pool.answered(running.remove(0), false, 0));
        }
    }

    private void collect(List<Attempt> running, List<PoolEffect> effects) {
        for (PoolEffect effect : effects) {
            if (effect instanceof PoolEffect.Dispatch dispatch) {
                running.add(dispatch.attempt());
            } else if (effect instanceof PoolEffect.Answer || effect instanceof PoolEffect.Refuse) {
                decided.incrementAndGet();
            }
        }
    }

    @Test
    @Timeout(60)
    void shouldDecideEachRequestOnceWhenThreadsShareThePool() throws Exception {
        for (int i = 1; i <= 3; i++) {
            pool.addUpstream("u" + i, 8, 64, SlotAllowance.FULL, 0);
        }
        ExecutorService executor = Executors.newFixedThreadPool(THREADS);
        try {
            List<Future<?>> futures = new ArrayList<>();
            for (int thread = 0; thread < THREADS; thread++) {
                int number = thread;
                futures.add(executor.submit(() -> submitAndAnswer(number)));
            }
            for (Future<?> future : futures) {
                future.get(50, TimeUnit.SECONDS);
            }
        } finally {
            executor.shutdownNow();
        }
        List<Attempt> dispatched = new ArrayList<>();
        collect(dispatched, pool.setAllowance(List.of("u1", "u2"), SlotAllowance.FULL, 0));
        while (!dispatched.isEmpty()) {
            collect(dispatched, pool.answered(dispatched.remove(0), false, 0));
        }
        assertEquals(THREADS * REQUESTS, decided.get());
        assertEquals(0, pool.pending());
        assertEquals(24, pool.load().freeSlots());
    }
}
