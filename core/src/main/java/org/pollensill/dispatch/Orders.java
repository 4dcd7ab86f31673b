package org.pollensill.dispatch;

import org.pollensill.job.TaskName;
import org.pollensill.runner.RenewalOrder;
import org.pollensill.runner.RunnerAddress;
import org.pollensill.runner.StartOrder;

/** Sends the dispatcher's orders to runners. Answers are passed to the dispatcher's {@code on...} methods. */
public interface Orders {

    /**
     * Sends a start order.
     *
     * @param to the runner
     * @param order the order
     */
    void start(RunnerAddress to, StartOrder order);

    /**
     * Sends a stop order.
     *
     * @param to the runner
     * @param task the task
     * @param run the run
     */
    void stop(RunnerAddress to, TaskName task, int run);

    /**
     * Sends a lease renewal.
     *
     * @param to the runner
     * @param order the order
     * @param sequence sequence number of the renewal, to be returned with its answer
     */
    void renewLease(RunnerAddress to, RenewalOrder order, long sequence);

    /**
     * Sends a throttling order.
     *
     * @param to the runner
     * @param task the task
     * @param run the run
     * @param percent the task's pace in percent of full speed; 0 pauses it
     */
    void throttle(RunnerAddress to, TaskName task, int run, int percent);
}
