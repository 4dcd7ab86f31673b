package org.pollensill.runner;

import java.util.concurrent.CompletableFuture;

import org.pollensill.job.TaskName;

/** Orders to runners. Answers never fail; a failed call has an outcome of its own. */
public interface RunnerService {

    /**
     * Starts a task. Repeating an order is harmless: a run is started once.
     *
     * @param to the runner
     * @param order the order
     * @return the answer
     */
    CompletableFuture<OrderAnswer> start(RunnerAddress to, StartOrder order);

    /**
     * Stops a run. A run that has not arrived yet is refused from then on.
     *
     * @param to the runner
     * @param task the task
     * @param run the run
     * @param fence the fencing token
     * @return the answer
     */
    CompletableFuture<OrderAnswer> stop(RunnerAddress to, TaskName task, int run, long fence);

    /**
     * Extends the lease, acknowledges ends and asks for a report.
     *
     * @param to the runner
     * @param order the order
     * @return the answer
     */
    CompletableFuture<HoldAnswer> hold(RunnerAddress to, HoldOrder order);

    /**
     * Sets the share at which a task works.
     *
     * @param to the runner
     * @param task the task
     * @param run the run
     * @param percent the share
     * @param fence the fencing token
     * @return the answer
     */
    CompletableFuture<OrderAnswer> pace(RunnerAddress to, TaskName task, int run, int percent, long fence);
}
