package org.pollensill.zone;

import java.util.ArrayList;
import java.util.List;

import net.jqwik.api.EdgeCasesMode;
import net.jqwik.api.ForAll;
import net.jqwik.api.Group;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;

import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against overcommitment of a slice by several owners, and against permanent loss of capacity after faults. */
class OwnershipPropertyTest {

    private static final long MS = ZoneTiming.NS_PER_MS;
    private static final ZoneTiming TIMING = ZoneTiming.standard();

    /** Max recovery time: each wait of the protocol once, and the waits for commits of others twice. */
    private static final long MAX_RECOVERY_NS = 4 * TIMING.readIntervalNs()
            + TIMING.answerTimeoutNs()
            + TIMING.suspicionTimeoutNs()
            + 2 * TIMING.takeoverWaitNs()
            + TIMING.resolutionDelayNs()
            + 4 * TIMING.proposalDelayPerRankNs()
            + 1000 * MS;

    /** Injects random faults into one simulation. */
    private static final class Faults {

        private final ZoneSimulation simulation;
        private final List<Runnable> heals = new ArrayList<>();
        private int startedHosts;

        private Faults(ZoneSimulation simulation) {
            this.simulation = simulation;
        }

        private SimulatedProcess randomProcess() {
            List<SimulatedProcess> live = simulation.live();
            return live.isEmpty()
                    ? simulation.start("h" + startedHosts++)
                    : live.get(simulation.random.nextInt(live.size()));
        }

        private void inject() {
            SimulatedProcess process = randomProcess();
            String name = process.id.name();
            switch (simulation.random.nextInt(14)) {
                case 0 -> process.kill();
                case 1 -> {
                    process.kill();
                    simulation.after(simulation.random.nextInt(3000) * MS, () -> simulation.start(name));
                }
                case 2, 3 -> process.pause(simulation.random.nextInt(6000) * MS);
                case 4 -> process.pause(simulation.random.nextInt(30_000) * MS);
                case 5, 6 -> {
                    simulation.storeDown = !simulation.storeDown;
                    simulation.traceEvent("store down " + simulation.storeDown);
                }
                case 7, 8 -> block(name, randomProcess().id.name(), simulation.random.nextBoolean());
                case 9, 10 -> block(name, "store", true);
                case 11 -> {
                    if (simulation.live().size() < 5) {
                        simulation.start("h" + startedHosts++);
                    }
                }
                case 12 -> process.leave();
                default -> isolate(process);
            }
        }

        private void isolate(SimulatedProcess process) {
            simulation.live().forEach(other -> block(process.id.name(), other.id.name(), true));
        }

        private void block(String from, String to, boolean both) {
            if (from.equals(to)) {
                return;
            }
            simulation.traceEvent("block " + from + " " + to + " " + both);
            simulation.blockedLinks.add(from + ">" + to);
            if (both) {
                simulation.blockedLinks.add(to + ">" + from);
            }
            simulation.after(simulation.random.nextInt(15_000) * MS, () -> {
                simulation.blockedLinks.remove(from + ">" + to);
                simulation.blockedLinks.remove(to + ">" + from);
            });
        }

        private void heal() {
            simulation.traceEvent("heal");
            simulation.healed = true;
            simulation.storeDown = false;
            simulation.blockedLinks.clear();
            simulation.lossPercent = 0;
            simulation.lostAnswerPercent = 0;
            simulation.lateCommitPercent = 0;
            simulation.live().forEach(SimulatedProcess::resume);
            if (simulation.live().stream().allMatch(process -> process.leaving)) {
                simulation.start("h" + startedHosts++);
            }
        }
    }

    static void runWithRandomFaults(long seed) {
        ZoneSimulation simulation = new ZoneSimulation(seed, 8);
        Faults faults = new Faults(simulation);
        int processes = 1 + simulation.random.nextInt(4);
        for (int i = 0; i < processes; i++) {
            simulation.start("h" + faults.startedHosts++);
        }
        simulation.run(simulation.random.nextInt(6000) * MS);
        simulation.lossPercent = simulation.random.nextInt(3) * 5;
        simulation.lostAnswerPercent = simulation.random.nextInt(4) * 10;
        simulation.lateCommitPercent = simulation.random.nextInt(3) * 10;
        int maxFaultIntervalMs = 300 + simulation.random.nextInt(4000);
        long endNs = simulation.nowNs + 40_000 * MS;
        while (simulation.nowNs < endNs) {
            faults.inject();
            simulation.run(simulation.random.nextInt(maxFaultIntervalMs) * MS);
        }
        faults.heal();
        long recoveryNs = simulation.runUntilFull(MAX_RECOVERY_NS);
        assertTrue(
                recoveryNs >= 0,
                () -> "seed " + seed + ": not recovered after " + MAX_RECOVERY_NS / MS + " ms, row " + simulation.row
                        + "\n" + String.join("\n", simulation.trace));
        simulation.run(5000 * MS);
        assertTrue(
                simulation.isFull(),
                () -> "seed " + seed + ": capacity was lost again after the recovery, row " + simulation.row + "\n"
                        + String.join("\n", simulation.trace));
    }

    @Group
    class RandomFaults {

        @Property(tries = 200, seed = "29", edgeCases = EdgeCasesMode.NONE, shrinking = ShrinkingMode.OFF)
        void shouldNeverOvercommitSliceAndRecoverWhenFaultsHeal(@ForAll long seed) {
            runWithRandomFaults(seed);
        }
    }

    /**
     * A member that made a promise commits a view with a newcomer and terminates, while the other member can reach
     * neither the store nor the newcomer.
     */
    @Group
    class TerminatingMember {

        @Property(tries = 100, seed = "37", edgeCases = EdgeCasesMode.NONE, shrinking = ShrinkingMode.OFF)
        void shouldNotKeepOwnerConfirmedAfterLastCommitOfTerminatedMember(@ForAll long seed) {
            ZoneSimulation simulation = new ZoneSimulation(seed, 8);
            simulation.start("a");
            SimulatedProcess terminating = simulation.start("b");
            simulation.run(5000 * MS);
            // Without an answer to its commit, the terminating member does not relay the new view to the other one.
            simulation.lostAnswerPercent = simulation.random.nextInt(2) * 100;
            simulation.blockedLinks.addAll(List.of("a>store", "b>store", "a>c", "c>a"));
            simulation.run(2000 * MS + simulation.random.nextInt(3000) * MS);
            simulation.start("c");
            simulation.run(simulation.random.nextInt(3000) * MS);
            simulation.blockedLinks.remove("b>store");
            simulation.run(simulation.random.nextInt(4000) * MS);
            terminating.kill();
            simulation.run(15_000 * MS);
        }
    }
}
