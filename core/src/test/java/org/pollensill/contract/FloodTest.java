package org.pollensill.contract;

import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.pollensill.contract.PoolSimulation.Load;
import org.pollensill.contract.PoolSimulation.Result;

import static org.junit.jupiter.api.Assertions.assertAll;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against a flood of one kind at ten times the capacity that reduces the throughput or raises the latency of the
 * other kinds, or that leaves slots idle. Virtual time and fixed seeds make the results reproducible.
 */
class FloodTest {

    private static final double MIN_THROUGHPUT_RATIO = 0.95;
    private static final double MAX_P99_RATIO = 1.25;
    private static final double MIN_USEFUL_SHARE = 0.90;

    private static KindContract kind(String name, int urgency, double share, int queue, int slots, long deadlineMs) {
        return new KindContract(name, urgency, share, 1, queue, 10_000, slots, true, deadlineMs, 0.99, deadlineMs, 28);
    }

    /** Returns the kinds of pad-desk, each loaded to 70% of its guarantee. */
    static List<Load> padDesk(double slots) {
        return List.of(
                new Load(kind("pad-match", 0, 0.4, 200, 8, 1000), 0.28 * slots, 40, 20),
                new Load(kind("reprice", 1, 0.3, 200, 8, 2000), 0.21 * slots, 80, 20),
                new Load(kind("order-run", 2, 0.2, 200, 8, 4000), 0.14 * slots, 150, 20));
    }

    /** Returns the kinds of balcao-reparo, of which the least urgent has long requests. */
    static List<Load> balcaoReparo(double slots) {
        return List.of(
                new Load(kind("seam-check", 0, 0.4, 200, 8, 1000), 0.28 * slots, 30, 20),
                new Load(kind("patch-cut-plan", 1, 0.35, 200, 8, 3000), 0.24 * slots, 200, 20),
                new Load(kind("mildew-watch", 2, 0.15, 200, 5, 20_000), 0.10 * slots, 2000, 20));
    }

    static Stream<Arguments> floods() {
        return Stream.of(5, 15, 45)
                .flatMap(upstreams -> Stream.of(
                        Arguments.of("pad-match", upstreams, padDesk(upstreams * 8)),
                        Arguments.of("reprice", upstreams, padDesk(upstreams * 8)),
                        Arguments.of("order-run", upstreams, padDesk(upstreams * 8)),
                        Arguments.of("seam-check", upstreams, balcaoReparo(upstreams * 8)),
                        Arguments.of("patch-cut-plan", upstreams, balcaoReparo(upstreams * 8)),
                        Arguments.of("mildew-watch", upstreams, balcaoReparo(upstreams * 8))));
    }

    @ParameterizedTest(name = "{0} at {1} upstreams")
    @MethodSource("floods")
    void shouldKeepThroughputAndLatencyOfOtherKindsWhenOneKindFloods(
            String floodingKind, int upstreams, List<Load> loads) {
        runFlood(floodingKind, upstreams, loads, 17);
    }

    /** Long requests in a small pool are the hardest case. */
    @ParameterizedTest
    @ValueSource(longs = {100, 101, 102, 103, 104, 105, 106, 107})
    void shouldKeepThroughputAndLatencyOfOtherKindsWhenALongKindFloodsASmallPool(long seed) {
        runFlood("mildew-watch", 5, balcaoReparo(5 * 8), seed);
    }

    /**
     * The largest of the 85 latencies of mildew-watch exceeds the bound, in a burst beyond its guarantee of 6 slots.
     */
    @Test
    @Tag("known-red")
    void shouldKeepALongKindsLatencyInABurstWhenAnUrgentKindFloods() {
        runFlood("seam-check", 5, balcaoReparo(5 * 8), 106);
    }

    private static void runFlood(String floodingKind, int upstreams, List<Load> loads, long seed) {
        // Fewer upstreams need more time to run the same number of requests.
        long lengthMs = Math.max(10_000, 200_000 / upstreams);
        Map<String, Result> baseline =
                new PoolSimulation(PoolSimulation.service(loads), upstreams, seed, 5000, lengthMs).run(loads);
        Map<String, Result> flooded = new PoolSimulation(PoolSimulation.service(loads), upstreams, seed, 5000, lengthMs)
                .run(PoolSimulation.flooded(loads, floodingKind, 10 * 8 * upstreams));
        String results =
                "baseline " + PoolSimulation.describe(baseline) + ", flooded " + PoolSimulation.describe(flooded);
        assertAll(Stream.concat(
                Stream.of(() -> assertTrue(
                        PoolSimulation.totalUsefulShare(flooded) >= MIN_USEFUL_SHARE,
                        () -> "useful share of the capacity " + PoolSimulation.totalUsefulShare(flooded) + "; "
                                + results)),
                loads.stream()
                        .map(load -> load.contract().kind())
                        .filter(kind -> !kind.equals(floodingKind))
                        .map(kind -> () -> assertUnaffected(kind, baseline.get(kind), flooded.get(kind)))));
    }

    private static void assertUnaffected(String kind, Result baseline, Result flooded) {
        double baselineRate = (double) baseline.answered() / baseline.offered();
        double floodedRate = (double) flooded.answered() / flooded.offered();
        assertTrue(
                floodedRate >= MIN_THROUGHPUT_RATIO * baselineRate,
                () -> kind + " answers " + floodedRate + " of its requests instead of " + baselineRate);
        assertTrue(
                flooded.p99Ms() <= MAX_P99_RATIO * baseline.p99Ms(),
                () -> kind + " has a p99 of " + flooded.p99Ms() + " ms instead of " + baseline.p99Ms());
    }
}
