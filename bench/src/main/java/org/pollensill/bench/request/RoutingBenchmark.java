package org.pollensill.bench.request;

import java.util.List;
import java.util.Optional;
import java.util.Random;
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
import org.pollensill.upstream.KindLimits;
import org.pollensill.upstream.Slot;
import org.pollensill.upstream.SlotTable;
import org.pollensill.upstream.Upstream;
import org.pollensill.upstream.UpstreamChoice;

/** Measures one routing decision at 95% load: frees a slot, chooses an upstream and occupies one of its slots. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class RoutingBenchmark {

    /** Number of upstreams of one owner. */
    @Param({"45", "1000", "23000"})
    private int upstreams;

    private final Random random = new Random(1);
    private final UpstreamChoice choice = UpstreamChoice.powerOfTwoChoices();
    private SlotTable table;
    private Slot[] occupiedSlots;

    /** Occupies 95% of the slots. */
    @Setup
    public void setUp() {
        table = SlotTable.of(List.of(new KindLimits(8, 1), new KindLimits(3, 1), new KindLimits(8, 1)));
        for (int i = 0; i < upstreams; i++) {
            table.add("u" + i, 8, 64);
        }
        occupiedSlots = new Slot[(int) (upstreams * 8 * 0.95)];
        for (int i = 0; i < occupiedSlots.length; i++) {
            occupiedSlots[i] = occupySlot();
        }
    }

    /**
     * Routes one request.
     *
     * @return the occupied slot
     */
    @Benchmark
    public Slot decide() {
        int index = random.nextInt(occupiedSlots.length);
        table.release(occupiedSlots[index]);
        occupiedSlots[index] = occupySlot();
        return occupiedSlots[index];
    }

    private Slot occupySlot() {
        Upstream upstream =
                choice.choose(table.usable(0), Optional.empty(), random).orElseThrow();
        return table.take(upstream, 0, 0).orElseThrow();
    }
}
