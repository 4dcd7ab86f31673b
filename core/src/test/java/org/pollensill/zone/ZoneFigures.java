package org.pollensill.zone;

import java.util.function.Predicate;

/** Prints the mean recovery time of the capacity after a process is killed and after it is paused. */
final class ZoneFigures {

    private static final long MS = ZoneTiming.NS_PER_MS;
    private static final int SLICES = 64;
    private static final int RUNS = 40;

    private ZoneFigures() {}

    /**
     * Prints the figures.
     *
     * @param arguments none
     */
    public static void main(String[] arguments) {
        for (int members : new int[] {3, 8}) {
            recovery(members);
        }
    }

    private static void recovery(int members) {
        double killMs = 0;
        double halfMs = 0;
        double resumeMs = 0;
        for (int run = 0; run < RUNS; run++) {
            ZoneSimulation killed = startedZone(run, members);
            victim(killed).kill();
            killMs += millisUntil(killed, simulation -> isServed(simulation, Share.FULL));
            ZoneSimulation paused = startedZone(run, members);
            SimulatedProcess victim = victim(paused);
            victim.pause(30_000 * MS);
            halfMs += millisUntil(paused, simulation -> isServed(simulation, Share.HALF));
            paused.run(10_000 * MS);
            victim.resume();
            resumeMs += millisUntil(paused, simulation -> isServed(simulation, Share.FULL));
        }
        System.out.printf(
                "members %d, mean of %d: full share after a kill %.0f ms; at least half after a freeze %.0f ms; "
                        + "full share after the frozen process resumes %.0f ms%n",
                members, RUNS, killMs / RUNS, halfMs / RUNS, resumeMs / RUNS);
    }

    private static ZoneSimulation startedZone(long seed, int members) {
        ZoneSimulation simulation = new ZoneSimulation(seed, SLICES);
        for (int i = 0; i < members; i++) {
            simulation.start("h" + i);
        }
        simulation.run(10_000 * MS + simulation.random.nextInt(500) * MS);
        return simulation;
    }

    private static SimulatedProcess victim(ZoneSimulation simulation) {
        return simulation.live().get(simulation.random.nextInt(simulation.live().size()));
    }

    private static boolean isServed(ZoneSimulation simulation, Share minShare) {
        for (int slice = 0; slice < SLICES; slice++) {
            int number = slice;
            if (simulation.live().stream()
                    .noneMatch(process -> process.share(number).compareTo(minShare) >= 0)) {
                return false;
            }
        }
        return true;
    }

    private static long millisUntil(ZoneSimulation simulation, Predicate<ZoneSimulation> condition) {
        long startNs = simulation.nowNs;
        while (!condition.test(simulation)) {
            simulation.run(10 * MS);
        }
        return (simulation.nowNs - startNs) / MS;
    }
}
