package org.pollensill.runner;

import java.util.Objects;
import java.util.Optional;

import org.pollensill.job.TaskName;

/**
 * Order to start a task.
 *
 * @param task the task
 * @param run number of this start
 * @param payload text for the task
 * @param leaseEndMs end of the lease on the runner's clock
 * @param fence the fencing token
 * @param checkpoint progress to resume from, empty for none
 * @param ticket permission of the queue's policy
 */
public record StartOrder(
        TaskName task,
        int run,
        String payload,
        long leaseEndMs,
        long fence,
        String checkpoint,
        Optional<String> ticket) {

    /**
     * Creates an order.
     *
     * @throws NullPointerException if an argument is null
     */
    public StartOrder {
        Objects.requireNonNull(task, "task is null");
        Objects.requireNonNull(payload, "payload is null");
        Objects.requireNonNull(checkpoint, "checkpoint is null");
        Objects.requireNonNull(ticket, "ticket is null");
    }
}
