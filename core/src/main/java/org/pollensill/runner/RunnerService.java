package org.pollensill.runner;

import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;

import org.pollensill.job.TaskName;

/**
 * Sends orders to runners. The returned futures never complete exceptionally; a failed call yields an outcome of its
 * own. The connection of a call is kept for a late answer until its patience ends.
 */
public interface RunnerService {

    /**
     * Starts a task. Idempotent: repeated orders start a run only once.
     *
     * @param to the runner
     * @param order the order
     * @param patienceMs time after which no answer is awaited any more
     * @param mayStart decides immediately before the order is written whether the sender may still start runs
     * @return the answer
     */
    CompletableFuture<OrderAnswer> start(RunnerAddress to, StartOrder order, long patienceMs, BooleanSupplier mayStart);

    /**
     * Stops a run. If its start order arrives later, the runner refuses it.
     *
     * @param to the runner
     * @param task the task
     * @param run number of the run
     * @param fencingToken the fencing token
     * @param patienceMs time after which no answer is awaited any more
     * @return the answer
     */
    CompletableFuture<OrderAnswer> stop(RunnerAddress to, TaskName task, int run, long fencingToken, long patienceMs);

    /**
     * Renews the lease, acknowledges ended runs and requests a report.
     *
     * @param to the runner
     * @param order the order
     * @param patienceMs time after which no answer is awaited any more
     * @return the answer
     */
    CompletableFuture<RenewalAnswer> renewLease(RunnerAddress to, RenewalOrder order, long patienceMs);

    /**
     * Throttles a task to a share of its full speed.
     *
     * @param to the runner
     * @param task the task
     * @param run number of the run
     * @param percent the share in percent
     * @param fencingToken the fencing token
     * @param patienceMs time after which no answer is awaited any more
     * @return the answer
     */
    CompletableFuture<OrderAnswer> throttle(
            RunnerAddress to, TaskName task, int run, int percent, long fencingToken, long patienceMs);

    /**
     * Closes the idle connections to a runner, which may have fallen silent, so that the next order opens a new one.
     *
     * @param to the runner
     */
    void discardIdleConnections(RunnerAddress to);
}
