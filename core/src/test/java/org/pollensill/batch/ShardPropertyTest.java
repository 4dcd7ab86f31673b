package org.pollensill.batch;

import java.util.ArrayList;
import java.util.List;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.EdgeCasesMode;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.Tuple;

import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against tasks that run on two workers at once, resume twice from one checkpoint, get lost or start after an
 * acknowledged cancellation, and against overcommitted workers, under random sequences of failures.
 */
class ShardPropertyTest {

    /** A step of a scenario. */
    enum Step {
        WAIT_BRIEFLY,
        WAIT,
        WAIT_LONG,
        SUBMIT,
        SUBMIT_URGENT,
        CANCEL,
        MOVE_SHARD,
        KILL_OWNER,
        PAUSE_OWNER,
        RESUME_PROCESSES,
        LOSE_COMMIT_ANSWER,
        DELAY_COMMIT,
        REFUSE_COMMIT,
        STORE_DOWN,
        STORE_UP,
        WORKER_STOPS,
        WORKER_BOOTS,
        WORKER_DISCONNECTS,
        WORKER_RECONNECTS,
        WORKER_FAILS,
        WORKER_LEAVES,
        REDUCE_SHARE,
        RESTORE_SHARE,
        SLOW_NETWORK,
        FAST_NETWORK,
        END_FAULTS,
        LONG_DISCONNECT,
        KILL_DURING_STARTS,
        CANCEL_DURING_STARTS
    }

    private static void execute(Step step, Simulation simulation, List<String> submitted) {
        FakeWorker worker = simulation.workers.get(simulation.random.nextInt(simulation.workers.size()));
        SimulatedProcess owner = simulation.processes.get(simulation.viewOwner);
        simulation.checker.addTrace("step " + step + " " + worker.name);
        switch (step) {
            case WAIT_BRIEFLY -> simulation.run(60 + simulation.random.nextInt(200));
            case WAIT -> simulation.run(1_000 + simulation.random.nextInt(2_000));
            case WAIT_LONG -> simulation.run(10_000 + simulation.random.nextInt(30_000));
            case SUBMIT, SUBMIT_URGENT -> {
                submitted.add("k" + submitted.size());
                int tasks = 1 + simulation.random.nextInt(5);
                // Half of the jobs may run for longer than a lease, so that a lease that ends too early is detected.
                long durationMs = simulation.random.nextInt(simulation.random.nextBoolean() ? 10_000 : 90_000);
                int urgency = step == Step.SUBMIT ? 5 : 0;
                simulation.submit(submitted.get(submitted.size() - 1), tasks, urgency, durationMs);
            }
            case CANCEL -> {
                List<String> jobs = new ArrayList<>(simulation.acknowledged.keySet());
                if (!jobs.isEmpty()) {
                    int age = simulation.random.nextInt(Math.min(2, jobs.size()));
                    simulation.cancel(jobs.get(jobs.size() - 1 - age));
                }
            }
            case MOVE_SHARD -> simulation.moveShard();
            case KILL_OWNER -> {
                owner.kill();
                simulation.moveShard();
            }
            case PAUSE_OWNER -> owner.paused = true;
            case RESUME_PROCESSES -> simulation.processes.forEach(SimulatedProcess::resume);
            case LOSE_COMMIT_ANSWER -> simulation.commitFault = Simulation.CommitFault.ANSWER_LOST;
            case DELAY_COMMIT -> simulation.commitFault = Simulation.CommitFault.DELAYED;
            case REFUSE_COMMIT -> simulation.commitFault = Simulation.CommitFault.REFUSED;
            case STORE_DOWN -> simulation.storeDown = true;
            case STORE_UP -> simulation.storeDown = false;
            case WORKER_STOPS -> worker.die();
            case WORKER_BOOTS -> {
                if (!worker.alive) {
                    worker.boot();
                }
            }
            case WORKER_DISCONNECTS -> worker.reachable = false;
            case WORKER_RECONNECTS -> worker.reachable = true;
            case WORKER_FAILS -> worker.failing = !worker.failing;
            case WORKER_LEAVES -> worker.leaving = !worker.leaving;
            case REDUCE_SHARE -> simulation.settings = BatchSettings.DEFAULTS.withShare(40);
            case RESTORE_SHARE -> simulation.settings = BatchSettings.DEFAULTS;
            case SLOW_NETWORK -> simulation.slowNetworkMs = 3_000;
            case FAST_NETWORK -> simulation.slowNetworkMs = 0;
            case END_FAULTS -> {
                simulation.endFaults();
                simulation.run(8_000);
            }
            case LONG_DISCONNECT -> {
                worker.reachable = false;
                simulation.run(45_000);
            }
            case CANCEL_DURING_STARTS -> {
                simulation.slowNetworkMs = 3_000;
                execute(Step.SUBMIT, simulation, submitted);
                simulation.run(200 + simulation.random.nextInt(600));
                execute(Step.CANCEL, simulation, submitted);
                simulation.run(4_000);
            }
            case KILL_DURING_STARTS -> {
                simulation.slowNetworkMs = 3_000;
                execute(Step.SUBMIT, simulation, submitted);
                simulation.run(200 + simulation.random.nextInt(600));
                execute(Step.KILL_OWNER, simulation, submitted);
                simulation.run(4_000);
            }
            default -> throw new IllegalStateException("unknown step " + step);
        }
    }

    private static Simulation runScenario(long seed, List<Step> steps) {
        Simulation simulation = new Simulation(seed, 4);
        List<String> submitted = new ArrayList<>();
        simulation.run(1_000);
        for (Step step : steps) {
            execute(step, simulation, submitted);
        }
        simulation.endFaultsAndSettle();
        return simulation;
    }

    @Provide
    Arbitrary<List<Step>> scenarios() {
        return steps().list().ofMinSize(10).ofMaxSize(80);
    }

    @Provide
    Arbitrary<List<Step>> longScenarios() {
        return steps().list().ofSize(300);
    }

    private static Arbitrary<Step> steps() {
        List<Tuple.Tuple2<Integer, Step>> weighted = new ArrayList<>();
        for (Step step : Step.values()) {
            int weight = step.name().startsWith("WAIT") || step == Step.SUBMIT || step == Step.END_FAULTS ? 8 : 2;
            weighted.add(Tuple.of(weight, step));
        }
        return Arbitraries.frequency(weighted);
    }

    /** Returns whether failing workers may fail jobs permanently, so that the check for lost tasks does not apply. */
    private static boolean mayJobsFail(List<Step> steps) {
        return steps.contains(Step.WORKER_FAILS);
    }

    @Property(tries = 300, seed = "7001", edgeCases = EdgeCasesMode.NONE)
    void shouldKeepGuaranteesUnderRandomFailures(@ForAll("scenarios") List<Step> steps, @ForAll long seed) {
        Simulation simulation = runScenario(seed, steps);
        if (!mayJobsFail(steps)) {
            simulation.checkNothingLost();
        }
    }

    @Property(tries = 3, seed = "7002", edgeCases = EdgeCasesMode.NONE, shrinking = ShrinkingMode.OFF)
    void shouldCoverStartsResumesAndTakeovers(@ForAll("longScenarios") List<Step> steps, @ForAll long seed) {
        Simulation simulation = runScenario(seed, steps);
        assertTrue(simulation.checker.starts > 50, "starts: " + simulation.checker.starts);
        assertTrue(simulation.checker.resumes > 0, "no task was resumed from a checkpoint");
        assertTrue(simulation.viewEpoch > 5, "epochs: " + simulation.viewEpoch);
    }
}
