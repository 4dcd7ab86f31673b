package org.pollensill.batch;

import java.util.Optional;
import java.util.random.RandomGenerator;

import org.pollensill.worker.Interference;
import org.pollensill.worker.Worker;

/** Chooses a worker for a task. */
public interface PlacementPolicy {

    /**
     * Chooses a worker that can take the task now.
     *
     * @param request the task
     * @param pool the workers
     * @param random source of randomness for sampling
     * @return the worker, empty if none can take it
     */
    Optional<Worker> choose(PlacementRequest request, WorkerPool pool, RandomGenerator random);

    /**
     * Returns the first-fit policy, which chooses the first worker with enough free capacity.
     *
     * @return the policy
     */
    static PlacementPolicy firstFit() {
        return (request, pool, random) -> {
            for (Worker worker : pool.workers()) {
                if (pool.accepts(worker, request)) {
                    return Optional.of(worker);
                }
            }
            return Optional.empty();
        };
    }

    /**
     * Returns the best-fit policy, which chooses the worker with the least free capacity left.
     *
     * @return the policy
     */
    static PlacementPolicy bestFit() {
        return new BestFit();
    }

    /**
     * Returns the policy that samples a few workers with enough free capacity and scores them by fit, rack spread and
     * interference.
     *
     * @param candidates number of workers to score
     * @param interference the interference estimates
     * @return the policy
     */
    static PlacementPolicy sampling(int candidates, Interference interference) {
        return new SamplingPlacement(candidates, interference);
    }
}
