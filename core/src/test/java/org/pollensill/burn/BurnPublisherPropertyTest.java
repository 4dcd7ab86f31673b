package org.pollensill.burn;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.pollensill.settings.FakeStore;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Checks that no request is counted twice under lost answers, late writes, idle processes, restarts and archiving. */
class BurnPublisherPropertyTest {

    private static final BurnKey KEY = new BurnKey("pad-desk", "pad-match");
    private static final String ZONE = "chima-a";

    /** A process with its counters and its publisher. */
    private static final class Process {

        private final BurnCounters counters = BurnCounters.empty();
        private final BurnPublisher publisher;

        Process(FakeStore store, String incarnation) {
            publisher = new BurnPublisher(store, counters, ZONE, "e1", incarnation);
        }
    }

    private static long reported(FakeStore store, long nowMs) {
        BurnReport report = BurnReport.of(
                store.rows.values().stream()
                        .filter(row -> row.key().startsWith("burn/"))
                        .toList(),
                (key, zone) -> BurnObjective.DEFAULT,
                nowMs,
                List.of());
        return report.lines().isEmpty() ? 0 : report.lines().get(0).total();
    }

    /** Guards against double counts after archiving, a lost answer, or the archiving of a process that still runs. */
    @Property(tries = 400, seed = "6102")
    void shouldNeverCountTwiceAndLoseOnlyUnwrittenCounts(@ForAll long seed) {
        Random random = new Random(seed);
        FakeStore store = new FakeStore(seed, random.nextDouble() * 0.3);
        BurnArchiver archiver = new BurnArchiver(store);
        boolean restarts = random.nextBoolean();
        List<Process> processes = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            processes.add(new Process(store, "i" + i));
        }
        long nowMs = 1_800_000_000_000L;
        long counted = 0;
        for (int step = 0; step < 200; step++) {
            nowMs += random.nextInt(8) == 0 ? BurnArchiver.STALE_AFTER_MS + 1 : random.nextInt(30_000);
            int index = random.nextInt(processes.size());
            long atMs = nowMs;
            switch (random.nextInt(8)) {
                case 0, 1 -> {
                    int count = random.nextInt(20);
                    counted += count;
                    for (int i = 0; i < count; i++) {
                        processes.get(index).counters.record(KEY, Verdict.LATE, Cause.FLOOD, atMs);
                    }
                }
                case 2 -> processes.get(index).publisher.write(atMs);
                case 3 -> archiver.read(ZONE).thenCompose(rows -> archiver.archive(ZONE, rows, atMs));
                case 4 -> {
                    if (restarts && random.nextInt(4) == 0) {
                        processes.set(index, new Process(store, "r" + step));
                    }
                }
                default -> store.step();
            }
            assertTrue(reported(store, nowMs) <= counted, "reported more than " + counted + " at step " + step);
        }
        store.settle();
        long settledMs = nowMs;
        for (int round = 0; round < 40; round++) {
            processes.forEach(process -> process.publisher.write(settledMs));
            store.settle();
            assertTrue(reported(store, settledMs) <= counted, "reported more than " + counted);
        }
        if (!restarts) {
            assertEquals(counted, reported(store, settledMs));
        }
    }
}
