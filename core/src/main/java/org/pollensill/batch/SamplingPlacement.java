package org.pollensill.batch;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.random.RandomGenerator;

import org.pollensill.worker.Interference;
import org.pollensill.worker.Resources;
import org.pollensill.worker.Worker;

/** Scores a few sampled workers by stranded capacity, rack spread and predicted interference. */
final class SamplingPlacement implements PlacementPolicy {

    /** Draws per wanted candidate, so that a nearly full pool still yields several candidates. */
    private static final int DRAWS_PER_CANDIDATE = 4;

    /** A latency ratio of 1.5 for a busy latency-critical kind outweighs any difference in fit and spread. */
    private static final double INTERFERENCE_WEIGHT = 4;

    private static final double SPREAD_WEIGHT = 0.25;

    private final int candidates;
    private final Interference interference;

    SamplingPlacement(int candidates, Interference interference) {
        this.candidates = candidates;
        this.interference = Objects.requireNonNull(interference, "interference is null");
    }

    @Override
    public Optional<Worker> choose(PlacementRequest request, WorkerPool pool, RandomGenerator random) {
        List<Worker> workers = pool.workers();
        if (workers.isEmpty()) {
            return Optional.empty();
        }
        Worker best = null;
        double minScore = Double.POSITIVE_INFINITY;
        int found = 0;
        for (int draw = 0; draw < candidates * DRAWS_PER_CANDIDATE && found < candidates; draw++) {
            Worker worker = workers.get(random.nextInt(workers.size()));
            if (!pool.accepts(worker, request)) {
                continue;
            }
            found++;
            double score = score(worker, request, pool);
            if (score < minScore) {
                minScore = score;
                best = worker;
            }
        }
        return best != null ? Optional.of(best) : scan(request, pool, random.nextInt(workers.size()));
    }

    private static Optional<Worker> scan(PlacementRequest request, WorkerPool pool, int offset) {
        List<Worker> workers = pool.workers();
        for (int i = 0; i < workers.size(); i++) {
            Worker worker = workers.get((offset + i) % workers.size());
            if (pool.accepts(worker, request)) {
                return Optional.of(worker);
            }
        }
        return Optional.empty();
    }

    private double score(Worker worker, PlacementRequest request, WorkerPool pool) {
        Resources limit = worker.capacity().limit();
        Resources left = worker.capacity().free().minus(request.size());
        double processorsLeft = share(left.processorsMillicores(), limit.processorsMillicores());
        double memoryLeft = share(left.memoryBytes(), limit.memoryBytes());
        double stranded = Math.abs(processorsLeft - memoryLeft);
        double spread = pool.tasksOnRack(request.jobId(), worker.rack());
        double slowdown =
                Math.max(1, interference.ratio(worker.latencyCriticalKind(), request.kind(), worker.band())) - 1;
        return stranded + SPREAD_WEIGHT * spread / (1 + spread) + INTERFERENCE_WEIGHT * slowdown;
    }

    private static double share(long part, long whole) {
        return whole == 0 ? 0 : (double) part / whole;
    }
}
