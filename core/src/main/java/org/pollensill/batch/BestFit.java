package org.pollensill.batch;

import java.util.Optional;
import java.util.random.RandomGenerator;

import org.pollensill.worker.Worker;

/** Chooses the worker with the least free capacity left in the dimension with the largest remaining share. */
final class BestFit implements PlacementPolicy {

    @Override
    public Optional<Worker> choose(PlacementRequest request, WorkerPool pool, RandomGenerator random) {
        Worker best = null;
        double minShareLeft = Double.POSITIVE_INFINITY;
        for (Worker worker : pool.workers()) {
            if (!pool.accepts(worker, request)) {
                continue;
            }
            double shareLeft = worker.capacity()
                    .free()
                    .minus(request.size())
                    .dominantShare(worker.capacity().limit());
            if (shareLeft < minShareLeft) {
                minShareLeft = shareLeft;
                best = worker;
            }
        }
        return Optional.ofNullable(best);
    }
}
