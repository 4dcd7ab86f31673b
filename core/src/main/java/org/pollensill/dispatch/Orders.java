package org.pollensill.dispatch;

import org.pollensill.job.TaskName;
import org.pollensill.runner.HoldOrder;
import org.pollensill.runner.RunnerAddress;
import org.pollensill.runner.StartOrder;

/** Takes the orders that the dispatcher gives. Answers come back through the dispatcher's own methods. */
public interface Orders {

    /**
     * Sends a start.
     *
     * @param to the runner
     * @param order the order
     */
    void start(RunnerAddress to, StartOrder order);

    /**
     * Sends a stop.
     *
     * @param to the runner
     * @param task the task
     * @param run the run
     */
    void stop(RunnerAddress to, TaskName task, int run);

    /**
     * Sends a hold.
     *
     * @param to the runner
     * @param order the order
     * @param sequence number of the hold, to be returned with its answer
     */
    void hold(RunnerAddress to, HoldOrder order, long sequence);

    /**
     * Sends a pace.
     *
     * @param to the runner
     * @param task the task
     * @param run the run
     * @param percent the share at which the task works
     */
    void pace(RunnerAddress to, TaskName task, int run, int percent);
}
