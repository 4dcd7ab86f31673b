package org.pollensill.dispatch;

import org.pollensill.job.TaskName;
import org.pollensill.runner.RenewalOrder;
import org.pollensill.runner.RunnerAddress;
import org.pollensill.runner.StartOrder;

/**
 * Sends the dispatcher's orders to runners. Answers are passed to the dispatcher's {@code on...} methods. An order
 * whose timeout passes is reported as unanswered; an answer that arrives later is passed on as well.
 */
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

    /**
     * Returns the time after which an order to any runner currently counts as unanswered.
     *
     * @return the timeout in milliseconds, which follows the measured time to an answer
     */
    long answerTimeoutMs();

    /**
     * Returns whether runs may be started. A process that was paused may have been replaced as the leader, and a runner
     * that restarted meanwhile does not know the fencing token of its successor.
     *
     * @return whether the leader lease was confirmed so recently that no other process can have acquired it
     */
    boolean mayStart();

    /**
     * Returns the longest lease that a runner may be granted now. The leases of a leader end a bounded time after the
     * last commit that it knows to be stored, so that a successor knows their end from that commit.
     *
     * @return the time in milliseconds, 0 where no lease may be granted
     */
    long maxLeaseMs();

    /**
     * Returns whether answers currently take so long that optional orders should be saved.
     *
     * @return whether the network or this process delays answers
     */
    boolean congested();
}
