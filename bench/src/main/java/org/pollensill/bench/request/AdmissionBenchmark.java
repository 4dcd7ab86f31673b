package org.pollensill.bench.request;

import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;

import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import org.pollensill.contract.PoolEffect;

/** Measures one admission at 70% load: a running request is answered, another is submitted and dispatched. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class AdmissionBenchmark {

    /** Number of upstreams of one owner. */
    @Param({"45", "1000", "23000"})
    private int upstreams;

    private final Random random = new Random(1);
    private BenchmarkPool pool;
    private long nowNs;

    /** Creates a new pool for each iteration and resets the clock to 0. */
    @Setup(Level.Iteration)
    public void setUp() {
        pool = new BenchmarkPool(upstreams, 0.7, 50);
        nowNs = 0;
    }

    /**
     * Answers a request and admits another.
     *
     * @return the effects
     */
    @Benchmark
    public List<PoolEffect> admit() {
        nowNs += 1000;
        pool.ownerPool.answered(pool.removeRandomRunning(random), false, nowNs);
        List<PoolEffect> effects = pool.ownerPool.submit(pool.request("match"), nowNs);
        pool.recordDispatches(effects);
        return effects;
    }
}
