package org.pollensill.bench.batch;

import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
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
import org.pollensill.batch.PlacementPolicy;
import org.pollensill.batch.PlacementRequest;
import org.pollensill.batch.WorkerPool;
import org.pollensill.worker.Interference;
import org.pollensill.worker.Resources;
import org.pollensill.worker.Worker;

/** One placement in a pool whose workers are 75% full on average and carry a counter service. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class PlacementBenchmark {

    private static final Resources HOST = new Resources(32_000, 125L << 30, 1);
    private static final Resources TASK = new Resources(2_000, 4L << 30, 0);

    /** Workers of the pool. */
    @Param({"45", "1000", "23000"})
    private int workers;

    /** The policy. */
    @Param({"firstFit", "bestFit", "sampling"})
    private String policy;

    private final SplittableRandom random = new SplittableRandom(1);
    private WorkerPool pool;
    private PlacementPolicy chosen;
    private PlacementRequest request;

    /** Fills the pool. */
    @Setup
    public void fill() {
        pool = WorkerPool.empty();
        Interference interference = Interference.empty();
        for (int i = 0; i < workers; i++) {
            Worker worker = Worker.of("w" + i, "", "k" + i / 11, HOST);
            worker.updateClock(1, 1, 0);
            worker.updateLatencyCriticalLoad("pad-match", random.nextInt(100), 0);
            // From half full to full, so that some workers do not accept the task.
            worker.capacity().tryAllocate("filler", HOST.percent(50 + random.nextInt(51)));
            pool.add(worker);
        }
        chosen = switch (policy) {
            case "firstFit" -> PlacementPolicy.firstFit();
            case "bestFit" -> PlacementPolicy.bestFit();
            default -> PlacementPolicy.sampling(8, interference);
        };
        request = new PlacementRequest("j0-1", "fitment", TASK, false, Set.of(), 0);
    }

    /**
     * Chooses a worker.
     *
     * @return the worker
     */
    @Benchmark
    public Optional<Worker> place() {
        return chosen.choose(request, pool, random);
    }
}
