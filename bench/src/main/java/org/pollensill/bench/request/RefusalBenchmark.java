package org.pollensill.bench.request;

import java.util.List;
import java.util.concurrent.TimeUnit;

import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import org.pollensill.contract.PoolEffect;

/** Measures one refusal while all slots are in use and the queue of the kind is full. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class RefusalBenchmark {

    /** Number of upstreams of one owner. */
    @Param({"45", "1000", "23000"})
    private int upstreams;

    private BenchmarkPool pool;

    /** Fills the slots and the queue. */
    @Setup
    public void setUp() {
        pool = new BenchmarkPool(upstreams, 1, 50);
        for (int i = 0; i < 1000; i++) {
            pool.ownerPool.submit(pool.request("match"), 0);
        }
    }

    /**
     * Refuses a request.
     *
     * @return the effects
     */
    @Benchmark
    public List<PoolEffect> refuse() {
        List<PoolEffect> effects = pool.ownerPool.submit(pool.request("match"), 1000);
        if (!(effects.get(0) instanceof PoolEffect.Refuse)) {
            throw new IllegalStateException("not refused: " + effects);
        }
        return effects;
    }
}
